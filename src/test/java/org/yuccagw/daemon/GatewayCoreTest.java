package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.membership.StopRequested;
import org.yuccagw.core.peers.PeersSnapshot;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest.Kind;
import org.yuccagw.standins.platform.PlatformDocuments;

public class GatewayCoreTest {
    private static final int ENTRIES = 4;
    private static final int ENGINES = 10;
    private static final Duration LONG = Duration.ofSeconds(30);

    private VirtualFleet fleet;
    private List<BenchNode> nodes;

    @BeforeMethod
    public void startEntries() {
        fleet = new VirtualFleet();
        nodes = new ArrayList<>();
        for (int index = 1; index <= ENTRIES; index++) {
            nodes.add(fleet.start("entry-" + index));
        }
        fleet.configure(1);
        for (int index = 1; index <= ENGINES; index++) {
            fleet.addEngine("engine-" + index);
        }
        fleet.addPlain("plain-1");
        fleet.addPlain("plain-2");
        assertTrue(fleet.bench.runUntil(this::allServe, LONG));
        fleet.bench.runFor(Duration.ofSeconds(4));
    }

    // ---- What entries know.

    @Test
    public void everyEntryServesAndNamesAllOthersInItsDirectory() {
        for (BenchNode node : nodes) {
            assertEquals(node.state(PeersSnapshot.class).orElseThrow().serving().size(), ENTRIES);
        }
    }

    // The service turns one entry away and serves the others and the operators. A key that was taken away would go on
    // working at that one entry, and a route that was added would not be found there.
    @Test
    public void anEntryThatTheServiceTurnsAwayLearnsOfAChangeFromAnother() {
        BenchNode refused = nodes.get(2);
        fleet.bench.keyValue().cutOff(refused.entry());
        fleet.bench.runFor(Duration.ofSeconds(2));
        fleet.configure(2);
        assertTrue(fleet.bench.runUntil(() -> VirtualFleet.configurationOf(refused) == 2, Duration.ofSeconds(1)));
    }

    // All entries lose power while the service is away, and one comes back first, then the others. Until somebody knows
    // the configuration they say that they aren't ready; a restarted one that meets one that knows is ready at once.
    @Test
    public void anEntryThatStartsWhileTheServiceIsAwayComesUpFromAnother() {
        nodes.get(0).kill();
        fleet.bench.keyValue().setDown(true);
        fleet.bench.runFor(Duration.ofSeconds(1));
        BenchNode again = fleet.start("entry-1");
        assertTrue(fleet.bench.runUntil(() -> VirtualFleet.configurationOf(again) == 1, Duration.ofSeconds(3)));
    }

    @Test
    public void aConfigurationNeverGoesBackToAnEarlierVersion() {
        fleet.configure(7);
        fleet.bench.runFor(Duration.ofSeconds(1));
        fleet.configure(6);
        fleet.bench.runFor(Duration.ofSeconds(2));
        nodes.forEach(node -> assertEquals(VirtualFleet.configurationOf(node), 7));
    }

    @Test
    public void anEntryThatStopsLeavesEveryDirectoryAtOnce() {
        nodes.get(1).offer(new StopRequested());
        fleet.bench.runFor(Duration.ofMillis(50));
        assertFalse(nodes.get(1).state(PeersSnapshot.class).orElseThrow().ready());
        assertEquals(
                nodes.get(0).state(PeersSnapshot.class).orElseThrow().serving().size(), ENTRIES - 1);
    }

    @Test
    public void anEntryThatDiesLeavesEveryDirectoryWithinTwoSeconds() {
        nodes.get(1).kill();
        fleet.bench.runFor(Duration.ofSeconds(2));
        assertEquals(
                nodes.get(0).state(PeersSnapshot.class).orElseThrow().serving().size(), ENTRIES - 1);
    }

    // An entry comes back after a loss of power and could serve. As long as the others don't know, callers crowd those
    // that are named; all waited for the next heartbeat, 0.3 s.
    @Test
    public void anEntryThatComesBackIsInEveryDirectoryAtOnce() {
        nodes.get(1).kill();
        fleet.bench.runFor(Duration.ofSeconds(3));
        BenchNode again = fleet.start("entry-2");
        assertTrue(fleet.bench.runUntil(() -> VirtualFleet.configurationOf(again) == 1, Duration.ofSeconds(1)));
        fleet.bench.runFor(Duration.ofMillis(30));
        assertEquals(
                nodes.get(0).state(PeersSnapshot.class).orElseThrow().serving().size(), ENTRIES);
    }

    // An entry sends a long prompt to an engine. The others learned of it with the next heartbeat, up to 300 ms later,
    // and a tenth of the short prompts that they sent there meanwhile waited behind it.
    @Test
    public void theOthersHearAtOnceOfALongPrompt() {
        PlacementDecision.Placed placed = (PlacementDecision.Placed) fleet.placeLong(nodes.get(0), 12_000);
        fleet.bench.runFor(Duration.ofMillis(10));
        assertEquals(fleet.requestsOn(nodes.get(1), placed.endpoint().id().value()), 1);
    }

    // ---- Endpoints that leave.

    @Test
    public void anEndpointThatSaidThatItLeavesGetsNothingAndNeverComesBack() {
        String key = PlatformDocuments.endpointKey("plain-1");
        fleet.bench.keyValue().put(key, registration(true));
        fleet.bench.runFor(Duration.ofMillis(200));
        fleet.bench.keyValue().put(key, registration(false));
        fleet.bench.runFor(Duration.ofMillis(200));
        for (int index = 0; index < 10; index++) {
            assertEquals(placedOn(nodes.get(0)), EndpointId.of("plain-2"));
        }
    }

    // Seed trouble-1 of the first deployment: the service had been away for one entry, came back, and four seconds
    // later an endpoint was removed. The entry took that for a registration that had lapsed during the outage and sent
    // requests there for two more seconds.
    @Test
    public void aRemovalAfterTheServiceHasAnsweredAgainIsNoLapse() {
        BenchNode refused = nodes.get(0);
        fleet.bench.keyValue().cutOff(refused.entry());
        fleet.bench.runFor(Duration.ofSeconds(5));
        fleet.bench.keyValue().reach(refused.entry());
        fleet.bench.runFor(Duration.ofMillis(1500));
        fleet.bench.keyValue().remove(PlatformDocuments.endpointKey("plain-1"));
        fleet.bench.runFor(Duration.ofMillis(300));
        for (int index = 0; index < 10; index++) {
            assertEquals(placedOn(refused), EndpointId.of("plain-2"));
        }
    }

    // The service is away for ten seconds and all registrations lapse meanwhile, though every endpoint lives. Dropping
    // them would refuse every request until they have registered again.
    @Test
    public void registrationsThatLapsedDuringAnOutageAreStillUsedForTwoSeconds() {
        fleet.bench.keyValue().setDown(true);
        fleet.bench.runFor(Duration.ofSeconds(10));
        fleet.bench.keyValue().remove(PlatformDocuments.endpointKey("plain-1"));
        fleet.bench.keyValue().remove(PlatformDocuments.endpointKey("plain-2"));
        fleet.bench.keyValue().setDown(false);
        fleet.bench.runFor(Duration.ofSeconds(1));
        assertTrue(place(nodes.get(0), Kind.FIRST, "f") instanceof PlacementDecision.Placed);
        fleet.bench.runFor(Duration.ofSeconds(3));
        assertTrue(place(nodes.get(0), Kind.FIRST, "f") instanceof PlacementDecision.Refused);
    }

    // ---- Repeats.

    @Test
    public void repeatsStayWithinTheBudgetThatAllEntriesShare() {
        int requests = 100;
        int repeats = 0;
        for (int index = 0; index < requests; index++) {
            BenchNode node = nodes.get(index % ENTRIES);
            end(node, place(node, Kind.FIRST, "f" + index), AttemptEnded.End.ANSWERED);
        }
        for (int index = 0; index < 3 * requests; index++) {
            BenchNode node = nodes.get(index % ENTRIES);
            PlacementDecision decision = place(node, Kind.REPEAT, "f" + index);
            repeats += decision instanceof PlacementDecision.Placed ? 1 : 0;
            end(node, decision, AttemptEnded.End.ANSWERED);
        }
        assertTrue(repeats <= 0.2 * requests + 56, repeats + " repeats");
        assertTrue(repeats >= 30, repeats + " repeats");
    }

    // One request crashes each endpoint that runs it, and its caller sends it to one entry after the other. Each try
    // would take another endpoint away from everybody for seconds.
    @Test
    public void aRequestThatEndedTwoEndpointsIsRefusedEverywhere() {
        for (int index = 0; index < 2; index++) {
            PlacementDecision.Placed placed = (PlacementDecision.Placed) place(nodes.get(index), Kind.FIRST, "deadly");
            end(nodes.get(index), placed, AttemptEnded.End.BROKEN);
            if (index == 0) {
                fleet.bench
                        .keyValue()
                        .remove(PlatformDocuments.endpointKey(
                                placed.endpoint().id().value()));
            }
            fleet.bench.runFor(Duration.ofMillis(200));
        }
        PlacementDecision.Refused refused = (PlacementDecision.Refused) place(nodes.get(3), Kind.FIRST, "deadly");
        assertEquals(refused.error().kind(), ErrorKind.SUSPECT_REQUEST);
        assertTrue(place(nodes.get(3), Kind.FIRST, "harmless") instanceof PlacementDecision.Placed);
    }

    // ---- Weights.

    @Test
    public void allEnginesRunNamedWeightsBeforeTheTimeIsOver() {
        fleet.nameWeights(2);
        assertTrue(fleet.bench.runUntil(() -> fleet.allRun(2), VirtualFleet.OLD_WEIGHTS_ALLOWED));
        assertEquals(fleet.orders.size(), ENGINES);
    }

    // The holder is killed right after the first orders. Some engines ignore fencing numbers, so two holders within the
    // separation would be obeyed both; and if the next one waits for too long, requests begin on older weights.
    @Test
    public void whenTheHolderDiesAnotherGoesOnAfterTheSeparationAndInTime() {
        fleet.nameWeights(2);
        assertTrue(fleet.bench.runUntil(() -> !fleet.orders.isEmpty(), Duration.ofSeconds(1)));
        EntryId first = fleet.orders.get(0).from();
        fleet.bench.node(first.value()).orElseThrow().kill();
        assertTrue(fleet.bench.runUntil(() -> fleet.allRun(2), VirtualFleet.OLD_WEIGHTS_ALLOWED));
        assertHoldersAreSeparated();
    }

    // An engine has loaded, and its registration tells so before its holder asks it again. The entries had heard that
    // it
    // loads, and went on sparing it for a second: on trouble-2 of the second deployment three of eight engines idled
    // after each roll, while the others got every prompt.
    @Test
    public void anEngineThatHasLoadedIsOfUseAgainAtOnce() {
        fleet.nameWeights(2);
        assertTrue(fleet.bench.runUntil(() -> fleet.allRun(2), VirtualFleet.OLD_WEIGHTS_ALLOWED));
        fleet.bench.runFor(Duration.ofMillis(150));
        for (BenchNode node : nodes) {
            Set<EndpointId> used = new HashSet<>();
            for (int index = 0; index < 20 * ENGINES; index++) {
                PlacementDecision decision = fleet.place(node, "/model/x", Kind.FIRST, "f" + index);
                used.add(((PlacementDecision.Placed) decision).endpoint().id());
                end(node, decision, AttemptEnded.End.ANSWERED);
            }
            assertEquals(used.size(), ENGINES);
        }
    }

    // The holder dies after the first orders, and half of the time is over before the next one may order. It let a
    // third of the engines load and kept new requests from another third, so that the rest got every prompt for two
    // seconds: on trouble-2 of the second deployment two of eight, and half of the callers left.
    @Test
    public void aHolderInAHurryLeavesMostEnginesToRequests() {
        fleet.nameWeights(2);
        assertTrue(fleet.bench.runUntil(() -> !fleet.orders.isEmpty(), Duration.ofSeconds(1)));
        fleet.bench.node(fleet.orders.get(0).from().value()).orElseThrow().kill();
        int most = 0;
        Duration step = Duration.ofMillis(10);
        for (Duration passed = Duration.ZERO; !fleet.allRun(2); passed = passed.plus(step)) {
            assertTrue(passed.compareTo(VirtualFleet.OLD_WEIGHTS_ALLOWED) < 0, "not in time");
            fleet.bench.runFor(step);
            most = Math.max(most, fleet.enginesOutOfUse());
        }
        assertTrue(most <= ENGINES / 2 - 1, most + " of " + ENGINES + " engines out of use");
    }

    // The holder is cut off from the service and from all entries, but reaches the engines. It must stop by its own
    // clock, since nobody can tell it.
    @Test
    public void aHolderThatIsCutOffStopsBeforeTheNextOneBegins() {
        fleet.nameWeights(2);
        assertTrue(fleet.bench.runUntil(() -> !fleet.orders.isEmpty(), Duration.ofSeconds(1)));
        BenchNode first = fleet.bench.node(fleet.orders.get(0).from().value()).orElseThrow();
        fleet.bench.keyValue().cutOff(first.entry());
        fleet.bench.cutFromAll(first);
        fleet.bench.runFor(Duration.ofSeconds(2));
        fleet.nameWeights(3);
        assertTrue(fleet.bench.runUntil(() -> fleet.allRun(3), LONG));
        assertHoldersAreSeparated();
    }

    // Orders are carried out, but their answers are lost. Ordering again blindly would load twice; believing them lost
    // would leave engines behind.
    @Test
    public void anOrderWithoutAnswerIsNeitherRepeatedBlindlyNorGivenUp() {
        fleet.loseAnswersOfOrders(5);
        fleet.nameWeights(2);
        assertTrue(fleet.bench.runUntil(() -> fleet.allRun(2), VirtualFleet.OLD_WEIGHTS_ALLOWED));
        assertEquals(fleet.orders.size(), ENGINES);
    }

    // Seed trouble-2 of the first deployment: version 3 was named four seconds after version 2 while its holder stood
    // still. The time limit was counted anew from version 3, so requests began on version 1 eight seconds after
    // version 2 had been named.
    @Test
    public void aSecondNamingDoesNotExtendTheTimeOfTheFirst() {
        fleet.dropOrders();
        fleet.nameWeights(2);
        fleet.bench.runFor(Duration.ofSeconds(4));
        assertTrue(fleet.place(nodes.get(0), "/model/x", Kind.FIRST, "f") instanceof PlacementDecision.Placed);
        fleet.nameWeights(3);
        fleet.bench.runFor(Duration.ofSeconds(3));
        assertTrue(fleet.place(nodes.get(0), "/model/x", Kind.FIRST, "f") instanceof PlacementDecision.Refused);
    }

    private void assertHoldersAreSeparated() {
        Map<EndpointId, VirtualFleet.Order> last = new HashMap<>();
        for (VirtualFleet.Order order : fleet.orders) {
            VirtualFleet.Order before = last.put(order.engine().endpoint(), order);
            if (before != null && !before.from().equals(order.from())) {
                assertTrue(order.atNanos() - before.atNanos() >= VirtualFleet.SEPARATION.toNanos());
                assertTrue(order.fence() > before.fence());
            }
        }
    }

    private boolean allServe() {
        return nodes.stream()
                .allMatch(node -> node.state(PeersSnapshot.class)
                                .orElse(PeersSnapshot.none())
                                .serving()
                                .size()
                        == ENTRIES);
    }

    private EndpointId placedOn(BenchNode node) {
        PlacementDecision decision = place(node, Kind.FIRST, "f");
        end(node, decision, AttemptEnded.End.ANSWERED);
        return ((PlacementDecision.Placed) decision).endpoint().id();
    }

    private PlacementDecision place(BenchNode node, Kind kind, String fingerprint) {
        return fleet.place(node, "/plain/x", kind, fingerprint);
    }

    private static void end(BenchNode node, PlacementDecision decision, AttemptEnded.End end) {
        if (decision instanceof PlacementDecision.Placed placed) {
            node.offer(new AttemptEnded(placed.ticket(), end));
        }
    }

    private static byte[] registration(boolean leaving) {
        return PlatformDocuments.endpoint(
                "plain", org.yuccagw.core.id.NetworkAddress.of("127.0.0.1", 9), "ulemiste", leaving);
    }
}
