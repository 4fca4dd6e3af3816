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
    private static final Duration LONG = Duration.ofMinutes(2);

    @Test
    public void entriesFindEachOtherFromThePlatformsList() {
        ControlBench bench = ControlBench.of(1);
        List<BenchNode> nodes = startEight(bench);
        assertTrue(bench.runUntil(() -> allSee(nodes, 8, State.ALIVE), LONG));
    }

    @Test
    public void aKilledEntryLeavesEveryDirectory() {
        ControlBench bench = ControlBench.of(2);
        List<BenchNode> nodes = startEight(bench);
        assertTrue(bench.runUntil(() -> allSee(nodes, 8, State.ALIVE), LONG));
        BenchNode killed = nodes.remove(3);
        killed.kill();
        assertTrue(bench.runUntil(() -> allSee(nodes, 7, State.ALIVE), LONG));
    }

    // Callers lose an entry that works. One direction of the path between two entries is broken, so each probe of the
    // one to the other goes unanswered. Without the help of others it would be declared dead.
    @Test
    public void anAsymmetricCutBetweenTwoEntriesCondemnsNeither() {
        ControlBench bench = ControlBench.of(3);
        List<BenchNode> nodes = startEight(bench);
        assertTrue(bench.runUntil(() -> allSee(nodes, 8, State.ALIVE), LONG));
        bench.cutOneWay(nodes.get(0), nodes.get(1));
        for (int second = 0; second < 120; second++) {
            bench.runFor(Duration.ofSeconds(1));
            assertTrue(allSee(nodes, 8, State.ALIVE), "in second " + second);
        }
    }

    // After a long pause an entry finds itself declared dead everywhere. Its process is the same, so its incarnation
    // is too; it must be able to come back by refuting its death.
    @Test
    public void anEntryThatWasPausedRefutesItsDeath() {
        ControlBench bench = ControlBench.of(4);
        List<BenchNode> nodes = startEight(bench);
        assertTrue(bench.runUntil(() -> allSee(nodes, 8, State.ALIVE), LONG));
        List<BenchNode> others = new ArrayList<>(nodes);
        BenchNode paused = others.remove(5);
        paused.pause(Duration.ofSeconds(40));
        assertTrue(bench.runUntil(() -> allSee(others, 7, State.ALIVE), Duration.ofSeconds(39)));
        assertTrue(bench.runUntil(() -> allSee(nodes, 8, State.ALIVE), LONG));
    }

    @Test
    public void bothSidesOfAHealedCutJoinAgain() {
        ControlBench bench = ControlBench.of(5);
        List<BenchNode> nodes = startEight(bench);
        assertTrue(bench.runUntil(() -> allSee(nodes, 8, State.ALIVE), LONG));
        List<BenchNode> left = nodes.subList(0, 4);
        List<BenchNode> right = nodes.subList(4, 8);
        left.forEach(one -> right.forEach(other -> bench.cut(one, other)));
        assertTrue(bench.runUntil(() -> allSee(left, 4, State.ALIVE) && allSee(right, 4, State.ALIVE), LONG));
        bench.healNetwork();
        assertTrue(bench.runUntil(() -> allSee(nodes, 8, State.ALIVE), LONG));
    }

    @Test
    public void aRestartUnderTheSameNameReplacesTheOldIncarnation() {
        ControlBench bench = ControlBench.of(6);
        List<BenchNode> nodes = startEight(bench);
        assertTrue(bench.runUntil(() -> allSee(nodes, 8, State.ALIVE), LONG));
        nodes.get(2).kill();
        nodes.set(2, start(bench, 2));
        long incarnation = nodes.get(2).identity().incarnation();
        assertTrue(bench.runUntil(
                () -> nodes.stream().allMatch(node -> incarnationOf(node, nodes.get(2)) == incarnation), LONG));
    }

    @Test
    public void allEntriesReplacedOneAfterTheOtherKeepOneMembership() {
        ControlBench bench = ControlBench.of(7);
        List<BenchNode> nodes = startEight(bench);
        for (int index = 0; index < 8; index++) {
            assertTrue(bench.runUntil(() -> allSee(nodes, 8, State.ALIVE), LONG));
            nodes.get(index).kill();
            nodes.set(index, start(bench, index));
        }
        assertTrue(bench.runUntil(() -> allSee(nodes, 8, State.ALIVE), LONG));
    }

    // A caller is sent to an entry that is stopping and is cut off. Leaving must reach the others at once, and nothing
    // that is older, such as a refutation on its way, may bring the entry back.
    @Test
    public void aStoppingEntryIsLeavingEverywhereWithinThreeSeconds() {
        ControlBench bench = ControlBench.of(8);
        List<BenchNode> nodes = startEight(bench);
        assertTrue(bench.runUntil(() -> allSee(nodes, 8, State.ALIVE), LONG));
        BenchNode stopping = nodes.get(1);
        stopping.offer(new StopRequested());
        assertFalse(stopping.state(DirectorySnapshot.class).orElseThrow().ready());
        assertTrue(bench.runUntil(
                () -> nodes.stream().allMatch(node -> stateOf(node, stopping) == State.LEAVING),
                Duration.ofSeconds(3)));
        bench.runFor(Duration.ofSeconds(30));
        nodes.forEach(node -> assertEquals(stateOf(node, stopping), State.LEAVING));
    }

    private static List<BenchNode> startEight(ControlBench bench) {
        List<BenchNode> nodes = new ArrayList<>();
        for (int index = 0; index < 8; index++) {
            nodes.add(start(bench, index));
        }
        return nodes;
    }

    private static BenchNode start(ControlBench bench, int index) {
        return bench.start(
                "entry-" + index, List.of(MembershipComponent.of(Readiness.always()), EndpointsComponent.of()));
    }

    private static boolean allSee(List<BenchNode> nodes, int count, State state) {
        return nodes.stream().allMatch(node -> {
            List<EntryStatus> seen =
                    node.state(DirectorySnapshot.class).orElseThrow().entries();
            return seen.size() == count && seen.stream().allMatch(entry -> entry.state() == state);
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
                .filter(entry -> entry.entry().equals(subject.entry()))
                .findFirst()
                .orElseThrow();
    }
}
