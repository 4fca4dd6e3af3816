package org.yuccagw.core.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.bench.control.ControlBench;
import org.yuccagw.core.endpoint.EndpointsComponent;
import org.yuccagw.core.membership.EntryStatus.State;

public class MembershipTest {
    private static final Duration CONVERGENCE_TIMEOUT = Duration.ofMinutes(2);

    @Test
    public void entriesDiscoverEachOtherThroughThePlatformsList() {
        ControlBench bench = ControlBench.of(1);
        List<BenchNode> entries = startEightEntries(bench);
        assertTrue(bench.runUntil(() -> allHaveView(entries, 8, State.ALIVE), CONVERGENCE_TIMEOUT));
    }

    @Test
    public void aKilledEntryIsRemovedFromEveryDirectory() {
        ControlBench bench = ControlBench.of(2);
        List<BenchNode> entries = startEightEntries(bench);
        assertTrue(bench.runUntil(() -> allHaveView(entries, 8, State.ALIVE), CONVERGENCE_TIMEOUT));
        BenchNode killed = entries.remove(3);
        killed.kill();
        assertTrue(bench.runUntil(() -> allHaveView(entries, 7, State.ALIVE), CONVERGENCE_TIMEOUT));
    }

    // Guards against the removal of a working entry from the directory. One direction of the path between two entries
    // is
    // broken, so no direct probe between them is answered. Only indirect probes keep the target from being declared
    // dead.
    @Test
    public void aOneWayCutBetweenTwoEntriesMakesNeitherDead() {
        ControlBench bench = ControlBench.of(3);
        List<BenchNode> entries = startEightEntries(bench);
        assertTrue(bench.runUntil(() -> allHaveView(entries, 8, State.ALIVE), CONVERGENCE_TIMEOUT));
        bench.cutOneWay(entries.get(0), entries.get(1));
        for (int second = 0; second < 120; second++) {
            bench.runFor(Duration.ofSeconds(1));
            assertTrue(allHaveView(entries, 8, State.ALIVE), "in second " + second);
        }
    }

    // Guards against an entry that stays dead after a long suspension of its process. All others declared it dead
    // meanwhile, and its incarnation is unchanged, so it can only rejoin by refuting the dead state.
    @Test
    public void anEntryThatWasSuspendedRefutesItsDeadState() {
        ControlBench bench = ControlBench.of(4);
        List<BenchNode> entries = startEightEntries(bench);
        assertTrue(bench.runUntil(() -> allHaveView(entries, 8, State.ALIVE), CONVERGENCE_TIMEOUT));
        List<BenchNode> others = new ArrayList<>(entries);
        BenchNode suspended = others.remove(5);
        suspended.pause(Duration.ofSeconds(40));
        assertTrue(bench.runUntil(() -> allHaveView(others, 7, State.ALIVE), Duration.ofSeconds(39)));
        assertTrue(bench.runUntil(() -> allHaveView(entries, 8, State.ALIVE), CONVERGENCE_TIMEOUT));
    }

    @Test
    public void bothSidesRejoinAfterAPartitionHeals() {
        ControlBench bench = ControlBench.of(5);
        List<BenchNode> entries = startEightEntries(bench);
        assertTrue(bench.runUntil(() -> allHaveView(entries, 8, State.ALIVE), CONVERGENCE_TIMEOUT));
        List<BenchNode> left = entries.subList(0, 4);
        List<BenchNode> right = entries.subList(4, 8);
        left.forEach(one -> right.forEach(other -> bench.cut(one, other)));
        assertTrue(bench.runUntil(
                () -> allHaveView(left, 4, State.ALIVE) && allHaveView(right, 4, State.ALIVE), CONVERGENCE_TIMEOUT));
        bench.healNetwork();
        assertTrue(bench.runUntil(() -> allHaveView(entries, 8, State.ALIVE), CONVERGENCE_TIMEOUT));
    }

    @Test
    public void aRestartUnderTheSameNameReplacesTheOldIncarnation() {
        ControlBench bench = ControlBench.of(6);
        List<BenchNode> entries = startEightEntries(bench);
        assertTrue(bench.runUntil(() -> allHaveView(entries, 8, State.ALIVE), CONVERGENCE_TIMEOUT));
        entries.get(2).kill();
        entries.set(2, startEntry(bench, 2));
        long incarnation = entries.get(2).identity().incarnation();
        assertTrue(bench.runUntil(
                () -> entries.stream().allMatch(entry -> incarnationOf(entry, entries.get(2)) == incarnation),
                CONVERGENCE_TIMEOUT));
    }

    @Test
    public void oneMembershipSurvivesTheReplacementOfAllEntriesOneByOne() {
        ControlBench bench = ControlBench.of(7);
        List<BenchNode> entries = startEightEntries(bench);
        for (int index = 0; index < 8; index++) {
            assertTrue(bench.runUntil(() -> allHaveView(entries, 8, State.ALIVE), CONVERGENCE_TIMEOUT));
            entries.get(index).kill();
            entries.set(index, startEntry(bench, index));
        }
        assertTrue(bench.runUntil(() -> allHaveView(entries, 8, State.ALIVE), CONVERGENCE_TIMEOUT));
    }

    // Guards against callers that are directed to a stopping entry and lose their connection. The leaving state must
    // reach all entries at once, and no older record, such as a refutation in flight, may make the entry alive again.
    @Test
    public void aStoppingEntryIsSeenLeavingByAllEntriesWithinThreeSeconds() {
        ControlBench bench = ControlBench.of(8);
        List<BenchNode> entries = startEightEntries(bench);
        assertTrue(bench.runUntil(() -> allHaveView(entries, 8, State.ALIVE), CONVERGENCE_TIMEOUT));
        BenchNode stopping = entries.get(1);
        stopping.offer(new StopRequested());
        assertFalse(stopping.state(DirectorySnapshot.class).orElseThrow().ready());
        assertTrue(bench.runUntil(
                () -> entries.stream().allMatch(entry -> stateOf(entry, stopping) == State.LEAVING),
                Duration.ofSeconds(3)));
        bench.runFor(Duration.ofSeconds(30));
        entries.forEach(entry -> assertEquals(stateOf(entry, stopping), State.LEAVING));
    }

    private static List<BenchNode> startEightEntries(ControlBench bench) {
        List<BenchNode> entries = new ArrayList<>();
        for (int index = 0; index < 8; index++) {
            entries.add(startEntry(bench, index));
        }
        return entries;
    }

    private static BenchNode startEntry(ControlBench bench, int index) {
        return bench.start(
                "entry-" + index, List.of(MembershipComponent.of(Readiness.always()), EndpointsComponent.of()));
    }

    private static boolean allHaveView(List<BenchNode> entries, int count, State state) {
        return entries.stream().allMatch(entry -> {
            List<EntryStatus> view =
                    entry.state(DirectorySnapshot.class).orElseThrow().entries();
            return view.size() == count && view.stream().allMatch(status -> status.state() == state);
        });
    }

    private static State stateOf(BenchNode observer, BenchNode subject) {
        return statusOf(observer, subject).state();
    }

    private static long incarnationOf(BenchNode observer, BenchNode subject) {
        return statusOf(observer, subject).incarnation();
    }

    private static EntryStatus statusOf(BenchNode observer, BenchNode subject) {
        return observer.state(DirectorySnapshot.class).orElseThrow().entries().stream()
                .filter(status -> status.entry().equals(subject.entry()))
                .findFirst()
                .orElseThrow();
    }
}
