package org.yuccagw.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.bench.requests.LimitedCalls;
import org.yuccagw.bench.requests.LimitedCalls.Call;
import org.yuccagw.bench.requests.VirtualEntries;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.CatalogueChanged;
import org.yuccagw.core.catalogue.Limits;
import org.yuccagw.core.catalogue.RequestClass;
import org.yuccagw.core.catalogue.SystemLimits;
import org.yuccagw.core.catalogue.Workspace;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.id.WorkspaceId;

public class AdmissionTest {
    private static final ShardNumber SHARD = ShardNumber.of(0);
    private static final ServiceName SERVICE = ServiceName.of("assistant");
    private static final WorkspaceId LIMITED = WorkspaceId.of("limited");
    private static final WorkspaceId LARGE = WorkspaceId.of("large");
    private static final WorkspaceId SMALL = WorkspaceId.of("small");
    private static final int LIMIT = 6;
    private static final double REQUESTS_PER_SECOND = 10;
    private static final Duration RUN_TIME = Duration.ofMillis(200);
    private static final Duration DEADLINE = Duration.ofSeconds(4);
    private static final Duration SETTLING_WAIT = Duration.ofSeconds(8);

    private VirtualEntries entries;
    private LimitedCalls calls;
    private List<EntryId> names;

    @BeforeMethod
    public void startThreeEntries() {
        startEntries(ShareLender.SETTLING_TIME, new Limits(LIMIT, 0, 0));
    }

    private void startEntries(Duration settlingTime, Limits limits) {
        entries = VirtualEntries.of(
                11,
                1,
                (authority, shards) -> List.of(AdmissionComponent.withSettlingTime(authority, shards, settlingTime)));
        calls = LimitedCalls.over(entries, SERVICE, "interactive");
        names = List.of(entries.start("entry-1"), entries.start("entry-2"), entries.start("entry-3"));
        entries.own(SHARD, names.get(0));
        entries.tellMembers();
        names.forEach(name -> entries.tell(name, new CatalogueChanged(catalogue(limits))));
        entries.run(SETTLING_WAIT);
    }

    private static Catalogue catalogue(Limits limits) {
        RequestClass interactive =
                new RequestClass("interactive", 0, 1, DEADLINE, Duration.ofMinutes(1), Duration.ofSeconds(10), 1, 1);
        Map<WorkspaceId, Workspace> workspaces = Map.of(
                LIMITED, workspace(LIMITED, limits),
                LARGE, workspace(LARGE, Limits.unlimited()),
                SMALL, workspace(SMALL, Limits.unlimited()));
        return Catalogue.of(
                1, SystemLimits.defaults(), Map.of("interactive", interactive), workspaces, Map.of(), List.of());
    }

    private static Workspace workspace(WorkspaceId id, Limits limits) {
        return new Workspace(id, "owner", "interactive", limits, 1, List.of(), "secret");
    }

    /** Sends requests to the entries at a rate that always keeps a few of them waiting. */
    private void sendRequests(List<EntryId> targets, Duration duration) {
        long steps = duration.toMillis() / 50;
        for (long step = 0; step < steps; step++) {
            for (EntryId entry : targets) {
                if (entries.isUp(entry)) {
                    calls.call(entry, LIMITED, RUN_TIME);
                    calls.call(entry, LIMITED, RUN_TIME);
                }
            }
            entries.run(Duration.ofMillis(50));
        }
    }

    @Test
    public void aWorkspaceUsesExactlyItsLimitOverAllEntries() {
        sendRequests(names, Duration.ofSeconds(10));
        assertEquals(calls.mostRunning(), LIMIT);
        assertTrue(calls.letIn() > 200, "admitted: " + calls.letIn());
    }

    // The entry that lends the limit of a workspace fails while other entries hold shares. For a while there is no
    // lender. Then another entry owns the shard and grants new shares, while old shares may still be in use. Shares
    // that are lent twice would exceed the limit.
    @Test
    public void theLimitHoldsWhenItsOwnerFailsWhileSharesAreLent() {
        sendRequests(names, Duration.ofSeconds(3));
        entries.kill(names.get(0));
        entries.tellMembers();
        sendRequests(names, Duration.ofSeconds(9));
        assertTrue(calls.running() > 0, "no request runs while there is no owner");
        entries.own(SHARD, names.get(1));
        sendRequests(names, Duration.ofSeconds(50));
        assertTrue(calls.mostRunning() <= LIMIT, "most running: " + calls.mostRunning());
        entries.run(Duration.ofSeconds(10));
        long before = calls.letIn();
        sendRequests(names, Duration.ofSeconds(10));
        assertTrue(calls.letIn() - before > 200, "the limit is not fully used again: " + (calls.letIn() - before));
    }

    // The owner is paused for longer than its lease. Another entry takes over and waits until the shares have expired.
    // The first owner resumes and finds share requests in its queue before it learns that it lost the shard. It must
    // detect from its clock that its lease has expired, or it would lend shares a second time.
    @Test
    public void theLimitHoldsWhenAPausedOwnerResumesAfterATakeover() {
        sendRequests(names, Duration.ofSeconds(3));
        entries.pause(names.get(0));
        sendRequests(names.subList(1, 3), Duration.ofSeconds(3));
        entries.loseLease(SHARD, names.get(0));
        entries.own(SHARD, names.get(2), names.subList(1, 3));
        sendRequests(names.subList(1, 3), Duration.ofSeconds(9));
        entries.resume(names.get(0));
        sendRequests(names, Duration.ofSeconds(5));
        assertTrue(calls.mostRunning() <= LIMIT, "most running: " + calls.mostRunning());
    }

    @Test
    public void withoutASettlingTimeANewOwnerExceedsTheLimit() {
        startEntries(Duration.ZERO, new Limits(LIMIT, 0, 0));
        lendWholeLimitThenChangeOwner();
        assertTrue(calls.mostRunning() > LIMIT, "the check does not detect shares that are lent twice");
    }

    @Test
    public void withASettlingTimeANewOwnerKeepsTheLimit() {
        lendWholeLimitThenChangeOwner();
        assertEquals(calls.mostRunning(), LIMIT);
    }

    private void lendWholeLimitThenChangeOwner() {
        sendRequests(names.subList(1, 2), Duration.ofSeconds(3));
        entries.kill(names.get(0));
        entries.tellMembers();
        entries.cut(names.get(1), names.get(2));
        entries.own(SHARD, names.get(2));
        sendRequests(names.subList(1, 3), Duration.ofSeconds(4));
    }

    // Shards change their owner when entries start or stop. A call that arrives at that moment must not be refused
    // because the new owner grants no new shares yet.
    @Test
    public void aCallThatArrivesJustAfterAChangeOfOwnerIsAdmittedWithinItsDeadline() {
        entries.loseLease(SHARD, names.get(0));
        entries.own(SHARD, names.get(1));
        LimitedCalls.Call call = calls.call(names.get(2), LIMITED, RUN_TIME);
        entries.run(DEADLINE);
        assertTrue(call.isLetIn());
    }

    // Guards against refusing a workspace at all idle entries once an outage of the key-value service has lasted longer
    // than the lease of the owner.
    @Test
    public void withoutANewOwnerACallAtAnIdleEntryIsAdmittedAfterTheLeaseOfTheOwnerHasLapsed() {
        entries.loseLease(SHARD, names.get(0));
        for (EntryId entry : names) {
            Call call = calls.call(entry, LIMITED, RUN_TIME);
            entries.run(DEADLINE);
            assertTrue(call.isLetIn(), "entry: " + entry);
        }
    }

    // Guards against shares that are lent twice, by a former owner whose lease has lapsed and by its successor, which
    // the other entries don't know yet.
    @Test
    public void theLimitHoldsWhenTheLeaseOfTheOwnerLapsesWhileTheWholeLimitIsLent() {
        sendRequests(names.subList(1, 2), Duration.ofSeconds(3));
        entries.loseLease(SHARD, names.get(0));
        sendRequests(names, Duration.ofSeconds(9));
        assertEquals(calls.mostRunning(), LIMIT);
        entries.own(SHARD, names.get(2), names.subList(2, 3));
        sendRequests(names, Duration.ofSeconds(9));
        entries.learnOwner(SHARD, names.get(0));
        entries.learnOwner(SHARD, names.get(1));
        sendRequests(names, Duration.ofSeconds(9));
        assertEquals(calls.mostRunning(), LIMIT);
    }

    @Test
    public void aRateLimitHoldsOverAllEntries() {
        startEntries(ShareLender.SETTLING_TIME, new Limits(0, REQUESTS_PER_SECOND, 0));
        sendRequests(names, Duration.ofSeconds(20));
        assertTrue(
                calls.letIn() <= REQUESTS_PER_SECOND * 20 + REQUESTS_PER_SECOND + names.size(),
                "admitted: " + calls.letIn());
        assertTrue(calls.letIn() >= REQUESTS_PER_SECOND * 20 * 0.8, "admitted: " + calls.letIn());
    }

    @Test
    public void withoutAnOwnerAndWithoutAShareARequestIsRefusedImmediatelyWithARetryAfterDelay() {
        entries = VirtualEntries.of(11, 1, (authority, shards) -> List.of(AdmissionComponent.of(authority, shards)));
        calls = LimitedCalls.over(entries, SERVICE, "interactive");
        EntryId alone = entries.start("entry-1");
        entries.tell(alone, new CatalogueChanged(catalogue(new Limits(LIMIT, 0, 0))));
        Call call = calls.call(alone, LIMITED, RUN_TIME);
        entries.run(Duration.ofMillis(1));
        assertEquals(call.refusal().orElseThrow().kind(), ErrorKind.WORKSPACE_LIMIT);
        assertTrue(call.refusal().orElseThrow().retryAfter().isPresent());
    }

    // The owner of the limit of a workspace fails before this entry ever had a share, and no entry takes over. Requests
    // must be refused soon, and not only at their deadlines.
    @Test
    public void whenTheOwnerIsSilentTheFirstRequestsAreRefusedSoonAndLaterOnesImmediately() {
        entries.kill(names.get(0));
        Call first = calls.call(names.get(1), LIMITED, RUN_TIME);
        entries.run(Duration.ofMillis(1_500));
        assertEquals(first.refusal().orElseThrow().kind(), ErrorKind.WORKSPACE_LIMIT);
        Call next = calls.call(names.get(1), LIMITED, RUN_TIME);
        entries.run(Duration.ofMillis(1));
        assertEquals(next.refusal().orElseThrow().kind(), ErrorKind.WORKSPACE_LIMIT);
    }

    // A large workspace sends hundreds of requests at once (60 in this test), and then a small workspace sends one. In
    // arrival order the single request would wait for all the others. In fair order it waits for about one.
    @Test
    public void aBurstOfOneWorkspaceDelaysAnotherByAboutOneRequest() {
        EntryId entry = names.get(0);
        entries.tell(entry, new CapacityChanged(SERVICE, 4));
        for (int request = 0; request < 60; request++) {
            calls.call(entry, LARGE, RUN_TIME);
        }
        entries.run(Duration.ofMillis(50));
        Call smallCall = calls.call(entry, SMALL, RUN_TIME);
        entries.run(Duration.ofSeconds(5));
        assertTrue(smallCall.waited().compareTo(RUN_TIME.multipliedBy(2)) <= 0, "waited " + smallCall.waited());
    }

    @Test
    public void aRequestThatCannotMeetItsDeadlineIsRefusedImmediatelyWithACorrectRetryAfterDelay() {
        EntryId entry = names.get(0);
        entries.tell(entry, new CapacityChanged(SERVICE, 1));
        calls.call(entry, SMALL, RUN_TIME);
        entries.run(RUN_TIME.plusMillis(1));
        Call refused = calls.call(entry, LARGE, RUN_TIME);
        for (int request = 0; request < 60 && refused.refusal().isEmpty(); request++) {
            refused = calls.call(entry, LARGE, RUN_TIME);
            entries.run(Duration.ofNanos(1));
        }
        assertEquals(refused.refusal().orElseThrow().kind(), ErrorKind.OVERLOADED);
        assertTrue(refused.waited().compareTo(Duration.ofMillis(1)) < 0, "the refusal was delayed");
        Duration retryAfter = refused.refusal().orElseThrow().retryAfter().orElseThrow();
        entries.run(retryAfter.plusMillis(1));
        Call retry = calls.call(entry, LARGE, RUN_TIME);
        entries.run(Duration.ofSeconds(5));
        assertTrue(retry.isLetIn(), "the retry was not admitted");
    }

    @Test
    public void aCallerThatDisconnectsReleasesItsSlotInTheQueueAndInTheService() {
        EntryId entry = names.get(0);
        entries.tell(entry, new CapacityChanged(SERVICE, 1));
        calls.call(entry, LARGE, RUN_TIME);
        Call disconnected = calls.call(entry, LARGE, RUN_TIME);
        entries.tell(entry, new AdmissionRequested.Withdrawn(org.yuccagw.core.id.RequestId.of("request-1")));
        Call next = calls.call(entry, LARGE, RUN_TIME);
        entries.run(RUN_TIME.plusMillis(10));
        assertFalse(disconnected.isAnswered());
        assertTrue(next.isLetIn());
        assertEquals(entries.state(entry, AdmissionSnapshot.class).waiting(), 0);
    }
}
