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
 * Cold endpoints under more requests than they sustain: the requests that all entries together send to one of them in
 * any second stay within the bound, whatever state each entry has.
 */
public class ColdEndpointsTest {
    private static final FailureDomain HOME = FailureDomain.of("ulemiste");
    private static final FailureDomain OTHER = FailureDomain.of("kadaka");
    private static final Duration ANSWER_TIME = Duration.ofMillis(500);
    private static final Duration FIRST_TOKEN_TIME = Duration.ofMillis(30);
    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(3);
    private static final int TOKENS = 800;
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MESH_FLEET_SIZE = 8;
    private static final int LARGE_FLEET_SIZE = 66;
    private static final int WARM_ENGINES = 4;

    private VirtualFleet fleet;
    private List<BenchNode> nodes;
    private Map<String, List<Long>> arrivals;
    private int nextNode;

    private void start(int entries) {
        fleet = new VirtualFleet();
        nodes = new ArrayList<>();
        arrivals = new HashMap<>();
        nextNode = 0;
        for (int index = 0; index < entries; index++) {
            nodes.add(fleet.start("entry-" + index, index % 2 == 0 ? HOME : OTHER));
        }
        fleet.configure(1);
        for (int index = 0; index < WARM_ENGINES; index++) {
            fleet.addEngine("warm-" + index, index % 2 == 0 ? HOME : OTHER, Duration.ZERO);
        }
        fleet.bench.runFor(Duration.ofSeconds(8));
    }

    /** Sends 333 prompts a second through all entries in turn; each is answered after a fixed time. */
    private void runTraffic(Duration duration) {
        long end = now() + duration.toNanos();
        sendNext(end);
        fleet.bench.runFor(duration);
    }

    private void sendNext(long endNanos) {
        BenchNode node = nodes.get(nextNode++ % nodes.size());
        if (!node.isDead()) {
            fleet.requestPlacement(node, TOKENS, decision -> onDecision(node, decision));
        }
        if (now() < endNanos) {
            fleet.bench.time().after(REQUEST_INTERVAL, () -> sendNext(endNanos));
        }
    }

    private void onDecision(BenchNode node, PlacementDecision decision) {
        if (decision instanceof PlacementDecision.Placed placed) {
            arrivals.computeIfAbsent(placed.endpoint().id().value(), name -> new ArrayList<>())
                    .add(now());
            fleet.bench.time().after(FIRST_TOKEN_TIME, () -> node.offer(new AttemptBegun(placed.ticket())));
            fleet.bench.time().after(ANSWER_TIME, () -> node.offer(new AttemptEnded(placed.ticket(), End.ANSWERED)));
        }
    }

    private long now() {
        return fleet.bench.time().nowNanos();
    }

    /** Returns the maximum number of arrivals at an endpoint in any second that begins at or after the given time. */
    private int maxInASecond(String endpoint, long fromNanos) {
        List<Long> times = arrivals.getOrDefault(endpoint, List.of()).stream()
                .filter(at -> at >= fromNanos)
                .toList();
        int max = 0;
        for (int first = 0; first < times.size(); first++) {
            int last = first;
            while (last < times.size() && times.get(last) - times.get(first) < SECOND_NANOS) {
                last++;
            }
            max = Math.max(max, last - first);
        }
        return max;
    }

    private void assertBound(String endpoint, long fromNanos) {
        double bound = VirtualFleet.COLD_REQUESTS_PER_SECOND * VirtualFleet.COLD_BOUNDS.overage()
                + VirtualFleet.COLD_BOUNDS.slack();
        int max = maxInASecond(endpoint, fromNanos);
        assertTrue(max <= bound, endpoint + " received " + max + " in a second, bound " + bound);
    }

    private void killLeads() {
        List<EntryId> leads = fleet.leadsKnownTo(nodes.get(0));
        nodes.stream().filter(node -> leads.contains(node.entry())).forEach(BenchNode::kill);
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{MESH_FLEET_SIZE}, {LARGE_FLEET_SIZE}};
    }

    // An engine joins while all others are busy. It has the least load in the view of every entry, all send to it at
    // once, and it fails within its first second; the next engine fails in the same way.
    @Test(dataProvider = "sizes")
    public void anEngineThatJoinsUnderLoadReceivesNoMoreThanItSustains(int entries) {
        start(entries);
        runTraffic(Duration.ofSeconds(1));
        long joinedNanos = now();
        fleet.addEngine("cold", HOME, VirtualFleet.COLD_DURATION);
        runTraffic(VirtualFleet.COLD_DURATION);
        assertBound("cold", joinedNanos);
        int received = arrivals.getOrDefault("cold", List.of()).size();
        assertTrue(
                received >= VirtualFleet.COLD_REQUESTS_PER_SECOND,
                "received while it was cold: " + received + " prompts");
    }

    // A whole failure domain returns cold while callers wait for free capacity, and there is no other engine to send
    // to.
    @Test(dataProvider = "sizes")
    public void requestsWaitOrAreRefusedWhenAllRemainingEnginesAreCold(int entries) {
        start(entries);
        for (int index = 0; index < WARM_ENGINES; index++) {
            fleet.addEngine("warm-" + index, index % 2 == 0 ? HOME : OTHER, VirtualFleet.COLD_DURATION);
        }
        long coldFromNanos = now() + Duration.ofMillis(100).toNanos();
        fleet.bench.runFor(Duration.ofMillis(100));
        runTraffic(Duration.ofMillis(2_500));
        for (int index = 0; index < WARM_ENGINES; index++) {
            assertBound("warm-" + index, coldFromNanos);
        }
    }

    // Both leads of the domain fail while an engine is cold, and each entry decides for itself until it follows the
    // next ones.
    @Test
    public void entriesWithoutALeadKeepTheBoundOfColdEngines() {
        start(LARGE_FLEET_SIZE);
        long joinedNanos = now();
        fleet.addEngine("cold", HOME, Duration.ofSeconds(6));
        runTraffic(Duration.ofSeconds(1));
        killLeads();
        runTraffic(Duration.ofSeconds(4));
        assertBound("cold", joinedNanos);
    }

    // The first lead is suspended while it places requests, and continues with them after the second one has taken
    // over.
    @Test
    public void aSuspendedLeadSendsNoMoreThanItsShareAfterItResumes() {
        start(LARGE_FLEET_SIZE);
        long joinedNanos = now();
        fleet.addEngine("cold", HOME, Duration.ofSeconds(8));
        runTraffic(Duration.ofSeconds(1));
        EntryId lead = fleet.leadsKnownTo(nodes.get(0)).get(0);
        nodes.stream().filter(node -> node.entry().equals(lead)).forEach(node -> node.pause(Duration.ofSeconds(3)));
        runTraffic(Duration.ofSeconds(6));
        assertBound("cold", joinedNanos);
    }

    // A third of the entries is cut off from all others and from each other. Each of them soon sees itself as the
    // last entry of its domain, and so as its lead.
    @Test
    public void entriesThatAreCutOffKeepTheBoundOfColdEngines() {
        start(LARGE_FLEET_SIZE);
        for (int index = 0; index < LARGE_FLEET_SIZE / 3; index++) {
            fleet.bench.cutFromAll(nodes.get(index));
        }
        fleet.bench.runFor(Duration.ofSeconds(4));
        long joinedNanos = now();
        fleet.addEngine("cold", HOME, VirtualFleet.COLD_DURATION);
        runTraffic(VirtualFleet.COLD_DURATION);
        assertBound("cold", joinedNanos);
    }

    // An entry starts while an engine is cold; it has no state about other entries yet and would use the whole bound
    // alone.
    @Test
    public void aNewlyStartedEntryKeepsTheBoundOfColdEngines() {
        start(MESH_FLEET_SIZE);
        fleet.addEngine("cold", HOME, Duration.ofSeconds(6));
        fleet.bench.runFor(Duration.ofMillis(500));
        nodes.get(0).kill();
        nodes.set(0, fleet.start("entry-0", HOME));
        fleet.bench.runFor(Duration.ofMillis(300));
        long startedNanos = now();
        runTraffic(Duration.ofSeconds(4));
        assertBound("cold", startedNanos);
    }

    // Operators revoke an evacuation. The engines have lost all cached state meanwhile, and report it a second later.
    @Test(dataProvider = "sizes")
    public void enginesCountAsColdWhenTheirEvacuationIsRevoked(int entries) {
        start(entries);
        fleet.evacuate(HOME);
        fleet.bench.runFor(Duration.ofSeconds(2));
        fleet.endEvacuation(HOME);
        long endedNanos = now();
        runTraffic(Duration.ofMillis(2_500));
        for (int index = 0; index < WARM_ENGINES; index += 2) {
            assertBound("warm-" + index, endedNanos);
        }
    }

    // All remaining engines are cold, and an entry has failed to connect to each of them once. Unreachable engines
    // are tried when there is no other, but not beyond what they sustain.
    @Test
    public void theBoundHoldsForColdEnginesThatCouldNotBeReached() {
        start(MESH_FLEET_SIZE);
        fleet.evacuate(OTHER);
        for (int index = 0; index < WARM_ENGINES; index += 2) {
            fleet.addEngine("warm-" + index, HOME, Duration.ofSeconds(6));
        }
        fleet.bench.runFor(Duration.ofSeconds(2));
        BenchNode node = nodes.get(0);
        for (int index = 0; index < WARM_ENGINES / 2; index++) {
            fleet.requestPlacement(node, TOKENS, decision -> {
                if (decision instanceof PlacementDecision.Placed placed) {
                    node.offer(new AttemptEnded(placed.ticket(), End.UNREACHED));
                }
            });
        }
        fleet.bench.runFor(Duration.ofMillis(50));
        long from = now();
        nodes = List.of(node);
        runTraffic(Duration.ofMillis(300));
        assertBound("warm-0", from);
        assertBound("warm-2", from);
    }

    // The update that an engine is warm again arrives before the time that it named before; the engine must be used
    // at once.
    @Test
    public void anEngineThatReportsThatItIsWarmIsUsedLikeAnyOther() {
        start(MESH_FLEET_SIZE);
        fleet.addEngine("cold", HOME, Duration.ofSeconds(60));
        fleet.bench.runFor(Duration.ofSeconds(1));
        fleet.addEngine("cold", HOME, Duration.ZERO);
        fleet.bench.runFor(Duration.ofMillis(200));
        long warmFromNanos = now();
        runTraffic(Duration.ofSeconds(1));
        assertTrue(maxInASecond("cold", warmFromNanos) > 20, "received " + maxInASecond("cold", warmFromNanos));
    }
}
