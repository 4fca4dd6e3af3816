package org.yuccagw.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Stream;
import org.testng.annotations.Test;
import org.yuccagw.core.deployment.PermittedRegions;
import org.yuccagw.core.deployment.WorkspaceAccess;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.stores.CacheSalt;

public class RetryAllowanceTest {
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final int ENTRIES = 8;
    private static final double SHARE = 1.0 / ENTRIES;

    @Test
    public void allEntriesTogetherStayWithinRatioAndSlack() {
        int retries = 0;
        for (int entry = 0; entry < ENTRIES; entry++) {
            RetryAllowance allowance = RetryAllowance.of(0.2, 56, WINDOW);
            for (int request = 0; request < 200; request++) {
                allowance.countRequest(request < 100 ? 0 : WINDOW.toNanos());
            }
            while (allowance.tryConsume(WINDOW.toNanos(), SHARE)) {
                retries++;
            }
        }
        assertTrue(retries <= 0.2 * ENTRIES * 100 + 56, retries + " retries");
        assertTrue(retries >= 0.5 * (0.2 * ENTRIES * 100 + 56), retries + " retries");
    }

    // Guards against two entries that use the ratio of the same requests within one window.
    @Test
    public void anEntryThatTakesOverTheRequestsOfAnotherStaysWithinWhatThatOneLeft() {
        RetryAllowance before = RetryAllowance.of(0.2, 0, WINDOW);
        RetryAllowance after = RetryAllowance.of(0.2, 0, WINDOW);
        int retries = 0;
        long takeoverMillis = 2 * WINDOW.toMillis();
        for (long millis = 0; millis < takeoverMillis; millis += 10) {
            before.countRequest(Duration.ofMillis(millis).toNanos());
        }
        while (before.tryConsume(Duration.ofMillis(takeoverMillis - 1).toNanos(), 0)) {
            retries++;
        }
        for (long millis = takeoverMillis; millis < takeoverMillis + WINDOW.toMillis() - 1; millis += 10) {
            after.countRequest(Duration.ofMillis(millis).toNanos());
            retries += after.tryConsume(Duration.ofMillis(millis).toNanos(), 0) ? 1 : 0;
        }
        assertTrue(retries <= 0.2 * WINDOW.toMillis() / 10, retries + " retries");
        assertTrue(retries >= 0.8 * 0.2 * WINDOW.toMillis() / 10, retries + " retries");
    }

    @Test
    public void theAllowanceIsAvailableAgainAfterTheWindow() {
        RetryAllowance allowance = RetryAllowance.of(0, 56, WINDOW);
        int consumed = 0;
        while (allowance.tryConsume(0, SHARE)) {
            consumed++;
        }
        assertTrue(consumed > 0);
        assertFalse(allowance.tryConsume(WINDOW.toNanos() / 2, SHARE));
        assertTrue(allowance.tryConsume(WINDOW.toNanos() + WINDOW.toNanos() / 5, SHARE));
    }

    @Test
    public void toAskWhetherARetryIsPermittedConsumesNothing() {
        RetryAllowance allowance = RetryAllowance.of(0, 56, WINDOW);
        for (int asked = 0; asked < 100; asked++) {
            assertTrue(allowance.permitsRetry(0, SHARE));
        }
        while (allowance.permitsRetry(0, SHARE)) {
            assertTrue(allowance.tryConsume(0, SHARE));
        }
        assertFalse(allowance.tryConsume(0, SHARE));
    }

    // Guards against two bursts that lie in different periods of the count but in one window of the platform.
    @Test
    public void noWindowHoldsMoreRetriesThanTheBudgetWhereverItBegins() {
        List<RetryAllowance> entries = Stream.generate(() -> RetryAllowance.of(0.2, 56, WINDOW))
                .limit(ENTRIES)
                .toList();
        List<Long> requestMillis = new ArrayList<>();
        List<Long> retryMillis = new ArrayList<>();
        for (long millis = 0; millis < 60_000; millis += 10) {
            for (RetryAllowance entry : entries) {
                long nanos = Duration.ofMillis(millis).toNanos();
                if (millis % 500 == 0) {
                    entry.countRequest(nanos);
                    requestMillis.add(millis);
                }
                if (millis >= 950 && entry.tryConsume(nanos, SHARE)) {
                    retryMillis.add(millis);
                }
            }
        }
        for (long begin = 0; begin < 50_000; begin += 10) {
            double budget = 0.2 * countWithinWindow(requestMillis, begin) + 56;
            long retries = countWithinWindow(retryMillis, begin);
            assertTrue(retries <= budget, retries + " retries of " + budget + " in the window from " + begin + " ms");
        }
    }

    private static long countWithinWindow(List<Long> millis, long begin) {
        return millis.stream()
                .filter(each -> each >= begin && each < begin + WINDOW.toMillis())
                .count();
    }

    // Two connections broke for unrelated reasons while the same harmless request ran, with an answer in between.
    @Test
    public void aCompleteAnswerClearsTheFailuresOfARequest() {
        SuspectRequests suspects = new SuspectRequests();
        suspects.add("f", incarnation("e1", 1), 0);
        suspects.clear("f");
        suspects.add("f", incarnation("e2", 1), 1);
        assertEquals(suspects.count("f", 2), 1);
        suspects.add("f", incarnation("e2", 1), 3);
        assertEquals(suspects.count("f", 4), 1);
        suspects.add("f", incarnation("e3", 1), 5);
        assertEquals(suspects.count("f", 6), SuspectRequests.MAX_FAILURES);
    }

    private static EndpointIncarnation incarnation(String endpoint, long startedMillis) {
        return EndpointIncarnation.of(EndpointId.of(endpoint), startedMillis);
    }

    @Test
    public void cachesAreSeparateForIsolatedWorkspacesAndWeightVersions() {
        assertEquals(
                CacheSalt.of(Optional.of(workspace("a", false)), PermittedRegions.ANYWHERE, 1),
                CacheSalt.of(Optional.empty(), PermittedRegions.ANYWHERE, 1));
        assertFalse(CacheSalt.of(Optional.of(workspace("a", true)), PermittedRegions.ANYWHERE, 1)
                .equals(CacheSalt.of(Optional.empty(), PermittedRegions.ANYWHERE, 1)));
        assertFalse(CacheSalt.of(Optional.of(workspace("a", true)), PermittedRegions.ANYWHERE, 1)
                .equals(CacheSalt.of(Optional.of(workspace("b", true)), PermittedRegions.ANYWHERE, 1)));
        assertFalse(CacheSalt.of(Optional.empty(), PermittedRegions.ANYWHERE, 1)
                .equals(CacheSalt.of(Optional.empty(), PermittedRegions.ANYWHERE, 2)));
    }

    private static WorkspaceAccess workspace(String name, boolean isolated) {
        return new WorkspaceAccess(
                WorkspaceId.of(name), ImmutableSet.of(), OptionalInt.empty(), isolated, PermittedRegions.ANYWHERE);
    }
}
