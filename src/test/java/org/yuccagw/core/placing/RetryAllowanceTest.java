package org.yuccagw.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.testng.annotations.Test;
import org.yuccagw.core.deployment.AllowedRegions;
import org.yuccagw.core.deployment.WorkspaceAccess;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.stores.CacheSalt;

public class RetryAllowanceTest {
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final int ENTRIES = 8;

    @Test
    public void allEntriesTogetherStayWithinRatioAndSlack() {
        int repeats = 0;
        for (int entry = 0; entry < ENTRIES; entry++) {
            RetryAllowance allowance = RetryAllowance.of(0.2, 56, WINDOW);
            for (int request = 0; request < 100; request++) {
                allowance.countRequest(0);
            }
            while (allowance.take(0, ENTRIES)) {
                repeats++;
            }
        }
        assertTrue(repeats <= 0.2 * ENTRIES * 100 + 56, repeats + " repeats");
        assertTrue(repeats >= 0.5 * (0.2 * ENTRIES * 100 + 56), repeats + " repeats");
    }

    @Test
    public void whatWasTakenComesBackAfterTheWindow() {
        RetryAllowance allowance = RetryAllowance.of(0, 56, WINDOW);
        int taken = 0;
        while (allowance.take(0, ENTRIES)) {
            taken++;
        }
        assertTrue(taken > 0);
        assertFalse(allowance.take(WINDOW.toNanos() / 2, ENTRIES));
        assertTrue(allowance.take(WINDOW.toNanos() + WINDOW.toNanos() / 5, ENTRIES));
    }

    // Two connections broke for reasons of their own while the same harmless request ran, an answer between them.
    @Test
    public void aWholeAnswerClearsTheSuspicionOfARequest() {
        SuspectRequests suspects = new SuspectRequests();
        suspects.add("f", start("e1", 1), 0);
        suspects.clear("f");
        suspects.add("f", start("e2", 1), 1);
        assertEquals(suspects.count("f", 2), 1);
        suspects.add("f", start("e2", 1), 3);
        assertEquals(suspects.count("f", 4), 1);
        suspects.add("f", start("e3", 1), 5);
        assertEquals(suspects.count("f", 6), SuspectRequests.LIMIT);
    }

    private static EndpointIncarnation start(String endpoint, long startedMillis) {
        return EndpointIncarnation.of(EndpointId.of(endpoint), startedMillis);
    }

    @Test
    public void onlyAnIsolatedWorkspaceHasACacheOfItsOwnAndEveryVersionHas() {
        assertEquals(
                CacheSalt.of(Optional.of(workspace("a", false)), AllowedRegions.ANYWHERE, 1),
                CacheSalt.of(Optional.empty(), AllowedRegions.ANYWHERE, 1));
        assertFalse(CacheSalt.of(Optional.of(workspace("a", true)), AllowedRegions.ANYWHERE, 1)
                .equals(CacheSalt.of(Optional.empty(), AllowedRegions.ANYWHERE, 1)));
        assertFalse(CacheSalt.of(Optional.of(workspace("a", true)), AllowedRegions.ANYWHERE, 1)
                .equals(CacheSalt.of(Optional.of(workspace("b", true)), AllowedRegions.ANYWHERE, 1)));
        assertFalse(CacheSalt.of(Optional.empty(), AllowedRegions.ANYWHERE, 1)
                .equals(CacheSalt.of(Optional.empty(), AllowedRegions.ANYWHERE, 2)));
    }

    private static WorkspaceAccess workspace(String name, boolean isolated) {
        return new WorkspaceAccess(
                WorkspaceId.of(name), ImmutableSet.of(), OptionalInt.empty(), isolated, AllowedRegions.ANYWHERE);
    }
}
