package org.yuccagw.daemon;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.placing.AttemptBegun;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.AttemptEnded.End;
import org.yuccagw.core.placing.PlacementDecision;

/**
 * Endpoints that are cold, under more requests than they bear: what all entries together send to one of them in any
 * second stays within the bound, whoever knows what.
 */
public class ColdEndpointsTest {
    private static final FailureDomain HOME = FailureDomain.of("ulemiste");
    private static final FailureDomain OTHER = FailureDomain.of("kadaka");
    private static final Duration ANSWER = Duration.ofMillis(500);
    private static final Duration FIRST_TOKEN = Duration.ofMillis(30);
    private static final Duration APART = Duration.ofMillis(3);
    private static final int TOKENS = 800;
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MESH = 8;
    private static final int LARGE = 66;
    private static final int WARM = 4;

    private VirtualFleet fleet;
    private List<BenchNode> nodes;
    private Map<String, List<Long>> arrivals;
    private int next;

    private void start(int entries) {
        fleet = new VirtualFleet();
        nodes = new ArrayList<>();
        arrivals = new HashMap<>();
        next = 0;
        for (int index = 0; index < entries; index++) {
            nodes.add(fleet.start("entry-" + index, index % 2 == 0 ? HOME : OTHER));
        }
        fleet.configure(1);
        for (int index = 0; index < WARM; index++) {
            fleet.addEngine("warm-" + index, index % 2 == 0 ? HOME : OTHER, Duration.ZERO);
        }
        fleet.bench.runFor(Duration.ofSeconds(8));
    }

    /** 333 prompts a second, of every entry in turn; each is answered after a while. */
    private void play(Duration duration) {
        long end = now() + duration.toNanos();
        askNext(end);
        fleet.bench.runFor(duration);
    }

    private void askNext(long endNanos) {
        BenchNode node = nodes.get(next++ % nodes.size());
        if (!node.isDead()) {
            fleet.askPrompt(node, TOKENS, decision -> onDecision(node, decision));
        }
        if (now() < endNanos) {
            fleet.bench.time().after(APART, () -> askNext(endNanos));
        }
    }

    private void onDecision(BenchNode node, PlacementDecision decision) {
        if (decision instanceof PlacementDecision.Placed placed) {
            arrivals.computeIfAbsent(placed.endpoint().id().value(), name -> new ArrayList<>())
                    .add(now());
            fleet.bench.time().after(FIRST_TOKEN, () -> node.offer(new AttemptBegun(placed.ticket())));
            fleet.bench.time().after(ANSWER, () -> node.offer(new AttemptEnded(placed.ticket(), End.ANSWERED)));
        }
    }

    private long now() {
        return fleet.bench.time().nowNanos();
    }

    /** Most arrivals at an endpoint in any second that begins after a time. */
    private int mostInASecond(String endpoint, long fromNanos) {
        List<Long> times = arrivals.getOrDefault(endpoint, List.of()).stream()
                .filter(at -> at >= fromNanos)
                .toList();
        int most = 0;
        for (int first = 0; first < times.size(); first++) {
            int last = first;
            while (last < times.size() && times.get(last) - times.get(first) < SECOND_NANOS) {
                last++;
            }
            most = Math.max(most, last - first);
        }
        return most;
    }

    private void assertBound(String endpoint, long fromNanos) {
        double bound =
                VirtualFleet.COLD_PER_SECOND * VirtualFleet.COLD_BOUNDS.overage() + VirtualFleet.COLD_BOUNDS.slack();
        int most = mostInASecond(endpoint, fromNanos);
        assertTrue(most <= bound, endpoint + " got " + most + " in a second, bound " + bound);
    }

    private void killLeads() {
        List<EntryId> leads = fleet.leadsKnownTo(nodes.get(0));
        nodes.stream().filter(node -> leads.contains(node.entry())).forEach(BenchNode::kill);
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{MESH}, {LARGE}};
    }

    // An engine joins while all others are busy. It looks emptiest to every entry, all send to it at once, and it ends
    // within its first second; the next one does the same.
    @Test(dataProvider = "sizes")
    public void anEngineThatJoinsUnderLoadGetsNoMoreThanItBears(int entries) {
        start(entries);
        play(Duration.ofSeconds(1));
        long joined = now();
        fleet.addEngine("cold", HOME, VirtualFleet.COLD);
        play(VirtualFleet.COLD);
        assertBound("cold", joined);
        int got = arrivals.getOrDefault("cold", List.of()).size();
        assertTrue(got >= VirtualFleet.COLD_PER_SECOND, "of use while it is cold: " + got + " prompts");
    }

    // A whole failure domain comes back, cold, while callers wait for room: nothing else is there to send to.
    @Test(dataProvider = "sizes")
    public void whenAllEnginesThatAreLeftAreColdTheRestWaitsOrIsRefused(int entries) {
        start(entries);
        for (int index = 0; index < WARM; index++) {
            fleet.addEngine("warm-" + index, index % 2 == 0 ? HOME : OTHER, VirtualFleet.COLD);
        }
        long turned = now() + Duration.ofMillis(100).toNanos();
        fleet.bench.runFor(Duration.ofMillis(100));
        play(Duration.ofMillis(2_500));
        for (int index = 0; index < WARM; index++) {
            assertBound("warm-" + index, turned);
        }
    }

    // Both leads of the domain die just then, and each entry decides for itself until it has turned to the next ones.
    @Test
    public void entriesWithoutALeadSpareColdEngines() {
        start(LARGE);
        long joined = now();
        fleet.addEngine("cold", HOME, Duration.ofSeconds(6));
        play(Duration.ofSeconds(1));
        killLeads();
        play(Duration.ofSeconds(4));
        assertBound("cold", joined);
    }

    // The first lead stands still in the middle of it and goes on with what it had begun, while the second one has
    // taken over.
    @Test
    public void aLeadThatFreezesAndWakesSendsNoMoreThanItsPart() {
        start(LARGE);
        long joined = now();
        fleet.addEngine("cold", HOME, Duration.ofSeconds(8));
        play(Duration.ofSeconds(1));
        EntryId lead = fleet.leadsKnownTo(nodes.get(0)).get(0);
        nodes.stream().filter(node -> node.entry().equals(lead)).forEach(node -> node.pause(Duration.ofSeconds(3)));
        play(Duration.ofSeconds(6));
        assertBound("cold", joined);
    }

    // A third of the entries is cut off from all others and from each other. Each of them soon believes to be the last
    // one of its domain, and so its lead.
    @Test
    public void entriesThatAreCutOffSpareColdEngines() {
        start(LARGE);
        for (int index = 0; index < LARGE / 3; index++) {
            fleet.bench.cutFromAll(nodes.get(index));
        }
        fleet.bench.runFor(Duration.ofSeconds(4));
        long joined = now();
        fleet.addEngine("cold", HOME, VirtualFleet.COLD);
        play(VirtualFleet.COLD);
        assertBound("cold", joined);
    }

    // An entry starts while an engine is cold; it knows nobody yet and would take the whole bound for its own.
    @Test
    public void anEntryThatHasJustStartedSparesColdEngines() {
        start(MESH);
        fleet.addEngine("cold", HOME, Duration.ofSeconds(6));
        fleet.bench.runFor(Duration.ofMillis(500));
        nodes.get(0).kill();
        nodes.set(0, fleet.start("entry-0", HOME));
        fleet.bench.runFor(Duration.ofMillis(300));
        long begun = now();
        play(Duration.ofSeconds(4));
        assertBound("cold", begun);
    }

    // Operators take an evacuation back. The engines have lost all that they held meanwhile, and say so a second later.
    @Test(dataProvider = "sizes")
    public void enginesCountAsColdWhenTheirEvacuationIsTakenBack(int entries) {
        start(entries);
        fleet.evacuate(HOME);
        fleet.bench.runFor(Duration.ofSeconds(2));
        fleet.endEvacuation(HOME);
        long back = now();
        play(Duration.ofMillis(2_500));
        for (int index = 0; index < WARM; index += 2) {
            assertBound("warm-" + index, back);
        }
    }

    // All that is left is cold, and an entry has failed to connect to each of them once. Those that couldn't be reached
    // are tried when nothing else is there, but not beyond what they bear.
    @Test
    public void coldEnginesThatCouldNotBeReachedAreSparedToo() {
        start(MESH);
        fleet.evacuate(OTHER);
        for (int index = 0; index < WARM; index += 2) {
            fleet.addEngine("warm-" + index, HOME, Duration.ofSeconds(6));
        }
        fleet.bench.runFor(Duration.ofSeconds(2));
        BenchNode node = nodes.get(0);
        for (int index = 0; index < WARM / 2; index++) {
            fleet.askPrompt(node, TOKENS, decision -> {
                if (decision instanceof PlacementDecision.Placed placed) {
                    node.offer(new AttemptEnded(placed.ticket(), End.UNREACHED));
                }
            });
        }
        fleet.bench.runFor(Duration.ofMillis(50));
        long from = now();
        nodes = List.of(node);
        play(Duration.ofMillis(300));
        assertBound("warm-0", from);
        assertBound("warm-2", from);
    }

    // News that an engine is warm again comes before the time that it gave; it must be of use at once.
    @Test
    public void anEngineThatSaysThatItIsWarmIsUsedLikeAnyOther() {
        start(MESH);
        fleet.addEngine("cold", HOME, Duration.ofSeconds(60));
        fleet.bench.runFor(Duration.ofSeconds(1));
        fleet.addEngine("cold", HOME, Duration.ZERO);
        fleet.bench.runFor(Duration.ofMillis(200));
        long warm = now();
        play(Duration.ofSeconds(1));
        assertTrue(mostInASecond("cold", warm) > 20, "got " + mostInASecond("cold", warm));
    }
}
