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
    private static final double RATE = 10;
    private static final Duration RUN = Duration.ofMillis(200);
    private static final Duration DEADLINE = Duration.ofSeconds(4);
    private static final Duration SETTLED = Duration.ofSeconds(8);

    private VirtualEntries entries;
    private LimitedCalls calls;
    private List<EntryId> names;

    @BeforeMethod
    public void startThreeEntries() {
        startWith(ShareLender.WAIT_OUT, new Limits(LIMIT, 0, 0));
    }

    private void startWith(Duration waitOut, Limits limits) {
        entries = VirtualEntries.of(
                11, 1, (authority, shards) -> List.of(AdmissionComponent.withWaitOut(authority, shards, waitOut)));
        calls = LimitedCalls.over(entries, SERVICE, "interactive");
        names = List.of(entries.start("entry-1"), entries.start("entry-2"), entries.start("entry-3"));
        entries.own(SHARD, names.get(0));
        entries.tellMembers();
        names.forEach(name -> entries.tell(name, new CatalogueChanged(catalogue(limits))));
        entries.run(SETTLED);
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

    /** Callers at the entries that always have a few requests waiting. */
    private void flood(List<EntryId> at, Duration time) {
        long steps = time.toMillis() / 50;
        for (long step = 0; step < steps; step++) {
            for (EntryId entry : at) {
                if (entries.isUp(entry)) {
                    calls.call(entry, LIMITED, RUN);
                    calls.call(entry, LIMITED, RUN);
                }
            }
            entries.run(Duration.ofMillis(50));
        }
    }

    @Test
    public void aWorkspaceUsesItsWholeLimitOverAllEntriesAndNeverMore() {
        flood(names, Duration.ofSeconds(10));
        assertEquals(calls.mostRunning(), LIMIT);
        assertTrue(calls.letIn() > 200, "let in: " + calls.letIn());
    }

    // The entry that lends a workspace's limit dies while others hold shares. For a while nobody lends. Then another
    // entry owns the shard and lends anew, while shares of the dead one may still be in use.
    @Test
    public void theLimitHoldsWhenItsOwnerDiesWithSharesLent() {
        flood(names, Duration.ofSeconds(3));
        entries.kill(names.get(0));
        entries.tellMembers();
        flood(names, Duration.ofSeconds(9));
        assertTrue(calls.running() > 0, "nothing runs without an owner");
        entries.own(SHARD, names.get(1));
        flood(names, Duration.ofSeconds(50));
        assertTrue(calls.mostRunning() <= LIMIT, "most running: " + calls.mostRunning());
        entries.run(Duration.ofSeconds(10));
        long before = calls.letIn();
        flood(names, Duration.ofSeconds(10));
        assertTrue(calls.letIn() - before > 200, "the limit is not used whole again: " + (calls.letIn() - before));
    }

    // The owner stands still past its lease, another takes over and waits out the shares. The first one wakes and
    // finds asks in its queue before it hears that it lost the shard; only its clock can tell it not to lend.
    @Test
    public void theLimitHoldsWhenAPausedOwnerWakesBesideANewOne() {
        flood(names, Duration.ofSeconds(3));
        entries.pause(names.get(0));
        flood(names.subList(1, 3), Duration.ofSeconds(3));
        entries.loseLease(SHARD, names.get(0));
        entries.own(SHARD, names.get(2), names.subList(1, 3));
        flood(names.subList(1, 3), Duration.ofSeconds(9));
        entries.resume(names.get(0));
        flood(names, Duration.ofSeconds(5));
        assertTrue(calls.mostRunning() <= LIMIT, "most running: " + calls.mostRunning());
    }

    @Test
    public void anOwnerThatDoesNotWaitOutOldSharesPassesTheLimit() {
        startWith(Duration.ZERO, new Limits(LIMIT, 0, 0));
        lendAllThenChangeTheOwner();
        assertTrue(calls.mostRunning() > LIMIT, "the check can't see shares that are lent twice");
    }

    @Test
    public void anOwnerThatWaitsOutOldSharesDoesNot() {
        lendAllThenChangeTheOwner();
        assertEquals(calls.mostRunning(), LIMIT);
    }

    private void lendAllThenChangeTheOwner() {
        flood(names.subList(1, 2), Duration.ofSeconds(3));
        entries.kill(names.get(0));
        entries.tellMembers();
        entries.cut(names.get(1), names.get(2));
        entries.own(SHARD, names.get(2));
        flood(names.subList(1, 3), Duration.ofSeconds(4));
    }

    // Shards are handed over when entries start or end. A caller that comes just then must not be refused for it.
    @Test
    public void aCallThatComesWhenTheOwnerIsNewIsLetInWithinItsDeadline() {
        entries.loseLease(SHARD, names.get(0));
        entries.own(SHARD, names.get(1));
        LimitedCalls.Call call = calls.call(names.get(2), LIMITED, RUN);
        entries.run(DEADLINE);
        assertTrue(call.isLetIn());
    }

    @Test
    public void aRateOverAllEntriesIsKept() {
        startWith(ShareLender.WAIT_OUT, new Limits(0, RATE, 0));
        flood(names, Duration.ofSeconds(20));
        assertTrue(calls.letIn() <= RATE * 20 + RATE + names.size(), "let in: " + calls.letIn());
        assertTrue(calls.letIn() >= RATE * 20 * 0.8, "let in: " + calls.letIn());
    }

    @Test
    public void withoutAnOwnerAndWithoutAShareAWorkspaceIsRefusedAtOnceAndToldWhenToComeBack() {
        entries = VirtualEntries.of(11, 1, (authority, shards) -> List.of(AdmissionComponent.of(authority, shards)));
        calls = LimitedCalls.over(entries, SERVICE, "interactive");
        EntryId alone = entries.start("entry-1");
        entries.tell(alone, new CatalogueChanged(catalogue(new Limits(LIMIT, 0, 0))));
        Call call = calls.call(alone, LIMITED, RUN);
        entries.run(Duration.ofMillis(1));
        assertEquals(call.refusal().orElseThrow().kind(), ErrorKind.WORKSPACE_LIMIT);
        assertTrue(call.refusal().orElseThrow().retryAfter().isPresent());
    }

    // The owner of a workspace's limit is gone before this entry ever had a share, and nobody takes over. Callers
    // must hear that soon, not at their deadlines.
    @Test
    public void whenTheOwnerIsSilentTheFirstRequestsAreRefusedSoonAndTheNextAtOnce() {
        entries.kill(names.get(0));
        Call first = calls.call(names.get(1), LIMITED, RUN);
        entries.run(Duration.ofMillis(1_500));
        assertEquals(first.refusal().orElseThrow().kind(), ErrorKind.WORKSPACE_LIMIT);
        Call next = calls.call(names.get(1), LIMITED, RUN);
        entries.run(Duration.ofMillis(1));
        assertEquals(next.refusal().orElseThrow().kind(), ErrorKind.WORKSPACE_LIMIT);
    }

    // One large workspace sends hundreds of requests at once. A colleague in a small one sends a single request after
    // them and should wait for one place, not for hundreds.
    @Test
    public void aFloodOfOneWorkspaceDelaysAnotherByAboutOneRequest() {
        EntryId entry = names.get(0);
        entries.tell(entry, new CapacityChanged(SERVICE, 4));
        for (int request = 0; request < 60; request++) {
            calls.call(entry, LARGE, RUN);
        }
        entries.run(Duration.ofMillis(50));
        Call small = calls.call(entry, SMALL, RUN);
        entries.run(Duration.ofSeconds(5));
        assertTrue(small.waited().compareTo(RUN.multipliedBy(2)) <= 0, "waited " + small.waited());
    }

    @Test
    public void aRequestThatCantMeetItsDeadlineIsRefusedAtOnceAndTheTimeToComeBackIsTrue() {
        EntryId entry = names.get(0);
        entries.tell(entry, new CapacityChanged(SERVICE, 1));
        calls.call(entry, SMALL, RUN);
        entries.run(RUN.plusMillis(1));
        Call refused = calls.call(entry, LARGE, RUN);
        for (int request = 0; request < 60 && refused.refusal().isEmpty(); request++) {
            refused = calls.call(entry, LARGE, RUN);
            entries.run(Duration.ofNanos(1));
        }
        assertEquals(refused.refusal().orElseThrow().kind(), ErrorKind.OVERLOADED);
        assertTrue(refused.waited().compareTo(Duration.ofMillis(1)) < 0, "the refusal was held back");
        Duration comeBack = refused.refusal().orElseThrow().retryAfter().orElseThrow();
        entries.run(comeBack.plusMillis(1));
        Call again = calls.call(entry, LARGE, RUN);
        entries.run(Duration.ofSeconds(5));
        assertTrue(again.isLetIn(), "the caller came back in vain");
    }

    @Test
    public void aCallerThatLeavesFreesItsPlaceInTheQueueAndInTheService() {
        EntryId entry = names.get(0);
        entries.tell(entry, new CapacityChanged(SERVICE, 1));
        calls.call(entry, LARGE, RUN);
        Call leaving = calls.call(entry, LARGE, RUN);
        entries.tell(entry, new AdmissionRequested.Withdrawn(org.yuccagw.core.id.RequestId.of("request-1")));
        Call next = calls.call(entry, LARGE, RUN);
        entries.run(RUN.plusMillis(10));
        assertFalse(leaving.isAnswered());
        assertTrue(next.isLetIn());
        assertEquals(entries.state(entry, AdmissionSnapshot.class).waiting(), 0);
    }
}
