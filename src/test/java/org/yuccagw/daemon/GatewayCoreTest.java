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
    private static final Duration BUDGET_WINDOW = Duration.ofSeconds(10);
    private static final int ENTRIES = 4;
    private static final int ENGINES = 10;
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

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
        assertTrue(fleet.bench.runUntil(this::allEntriesServe, TIMEOUT));
        fleet.bench.runFor(Duration.ofSeconds(4));
    }

    // ---- State of entries.

    @Test
    public void everyEntryServesAndListsAllOthersInItsDirectory() {
        for (BenchNode node : nodes) {
            assertEquals(node.state(PeersSnapshot.class).orElseThrow().serving().size(), ENTRIES);
        }
    }

    // The key-value service rejects one entry and serves the others and the operators. A revoked key would stay valid
    // at that one entry, and a new route would not be found there.
    @Test
    public void anEntryThatTheServiceRejectsLearnsOfAChangeFromAnother() {
        BenchNode rejected = nodes.get(2);
        fleet.bench.keyValue().cutOff(rejected.entry());
        fleet.bench.runFor(Duration.ofSeconds(2));
        fleet.configure(2);
        assertTrue(fleet.bench.runUntil(() -> VirtualFleet.configurationOf(rejected) == 2, Duration.ofSeconds(1)));
    }

    // All entries lose power while the service is unavailable; one returns first, then the others. Until one of them
    // has the configuration they report that they aren't ready; a restarted entry that reaches one that has it is
    // ready at once.
    @Test
    public void anEntryThatStartsWhileTheServiceIsUnavailableGetsTheConfigurationFromAnother() {
        nodes.get(0).kill();
        fleet.bench.keyValue().setDown(true);
        fleet.bench.runFor(Duration.ofSeconds(1));
        BenchNode restarted = fleet.start("entry-1");
        assertTrue(fleet.bench.runUntil(() -> VirtualFleet.configurationOf(restarted) == 1, Duration.ofSeconds(3)));
    }

    @Test
    public void theConfigurationNeverReturnsToAnEarlierVersion() {
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
    public void aFailedEntryLeavesEveryDirectoryWithinTwoSeconds() {
        nodes.get(1).kill();
        fleet.bench.runFor(Duration.ofSeconds(2));
        assertEquals(
                nodes.get(0).state(PeersSnapshot.class).orElseThrow().serving().size(), ENTRIES - 1);
    }

    // An entry returns after a loss of power and could serve. Until the others learn of it, callers crowd the entries
    // that are listed; without an immediate message all waited for the next heartbeat, 0.3 s.
    @Test
    public void aRestartedEntryIsInEveryDirectoryAtOnce() {
        nodes.get(1).kill();
        fleet.bench.runFor(Duration.ofSeconds(3));
        BenchNode restarted = fleet.start("entry-2");
        assertTrue(fleet.bench.runUntil(() -> VirtualFleet.configurationOf(restarted) == 1, Duration.ofSeconds(1)));
        fleet.bench.runFor(Duration.ofMillis(30));
        assertEquals(
                nodes.get(0).state(PeersSnapshot.class).orElseThrow().serving().size(), ENTRIES);
    }

    // An entry sends a long prompt to an engine. When the others learned of it with the next heartbeat, up to 300 ms
    // later, a tenth of the short prompts that they sent there meanwhile waited behind it.
    @Test
    public void theOthersLearnAtOnceOfALongPrompt() {
        PlacementDecision.Placed placed = (PlacementDecision.Placed) fleet.placeLongPrompt(nodes.get(0), 12_000);
        fleet.bench.runFor(Duration.ofMillis(10));
        assertEquals(fleet.requestsOn(nodes.get(1), placed.endpoint().id().value()), 1);
    }

    // ---- Leaving endpoints.

    @Test
    public void aLeavingEndpointReceivesNoRequestsAndIsNeverUsedAgain() {
        String key = PlatformDocuments.endpointKey("plain-1");
        fleet.bench.keyValue().put(key, registration(true));
        fleet.bench.runFor(Duration.ofMillis(200));
        fleet.bench.keyValue().put(key, registration(false));
        fleet.bench.runFor(Duration.ofMillis(200));
        for (int index = 0; index < 10; index++) {
            assertEquals(placeAndAnswer(nodes.get(0)), EndpointId.of("plain-2"));
        }
    }

    // The key-value service is unavailable for one entry and returns, and an endpoint is removed four seconds later.
    // An entry that took the removal for a registration that had expired during the outage sent requests there for
    // two more seconds.
    @Test
    public void aRemovalAfterTheServiceHasReturnedIsNoExpiry() {
        BenchNode rejected = nodes.get(0);
        fleet.bench.keyValue().cutOff(rejected.entry());
        fleet.bench.runFor(Duration.ofSeconds(5));
        fleet.bench.keyValue().reach(rejected.entry());
        fleet.bench.runFor(Duration.ofMillis(1500));
        fleet.bench.keyValue().remove(PlatformDocuments.endpointKey("plain-1"));
        fleet.bench.runFor(Duration.ofMillis(300));
        for (int index = 0; index < 10; index++) {
            assertEquals(placeAndAnswer(rejected), EndpointId.of("plain-2"));
        }
    }

    // The service is unavailable for ten seconds and all registrations expire meanwhile, though every endpoint runs.
    // An entry that dropped them would refuse every request until the endpoints have registered again.
    @Test
    public void registrationsThatExpiredDuringAnOutageAreStillUsedForTwoSeconds() {
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

    // ---- Retries.

    @Test
    public void retriesStayWithinTheBudgetThatAllEntriesShare() {
        int requests = 100;
        int retries = 0;
        fleet.bench.runFor(BUDGET_WINDOW);
        for (int index = 0; index < 2 * requests; index++) {
            BenchNode node = nodes.get(index % ENTRIES);
            if (index == requests) {
                fleet.bench.runFor(BUDGET_WINDOW);
            }
            end(node, place(node, Kind.FIRST, "f" + index), AttemptEnded.End.ANSWERED);
        }
        for (int index = 0; index < 3 * requests; index++) {
            BenchNode node = nodes.get(index % ENTRIES);
            PlacementDecision decision = place(node, Kind.REPEAT, "f" + index);
            retries += decision instanceof PlacementDecision.Placed ? 1 : 0;
            end(node, decision, AttemptEnded.End.ANSWERED);
        }
        assertTrue(retries <= 0.2 * requests + 56, retries + " retries");
        assertTrue(retries >= 30, retries + " retries");
    }

    // One request crashes each endpoint that runs it, and its caller sends it to one entry after the other. Each
    // attempt would make another endpoint unavailable to all callers for seconds.
    @Test
    public void aRequestThatTerminatedTwoEndpointsIsRefusedEverywhere() {
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
        PlacementDecision.Refused refusal = (PlacementDecision.Refused) place(nodes.get(3), Kind.FIRST, "deadly");
        assertEquals(refusal.error().kind(), ErrorKind.SUSPECT_REQUEST);
        assertTrue(place(nodes.get(3), Kind.FIRST, "harmless") instanceof PlacementDecision.Placed);
    }

    // ---- Weights.

    @Test
    public void allEnginesRunNamedWeightsWithinTheTimeLimit() {
        fleet.nameWeights(2);
        assertTrue(fleet.bench.runUntil(() -> fleet.allEnginesRun(2), VirtualFleet.WEIGHT_CHANGE_LIMIT));
        assertEquals(fleet.orders.size(), ENGINES);
    }

    // The holder is killed right after the first orders. Some engines ignore fencing numbers and would execute the
    // orders of two holders within the separation; if the next holder waits for too long, requests begin on older
    // weights.
    @Test
    public void anotherHolderContinuesAfterTheSeparationAndInTimeWhenTheFirstFails() {
        fleet.nameWeights(2);
        assertTrue(fleet.bench.runUntil(() -> !fleet.orders.isEmpty(), Duration.ofSeconds(1)));
        EntryId firstHolder = fleet.orders.get(0).from();
        fleet.bench.node(firstHolder.value()).orElseThrow().kill();
        assertTrue(fleet.bench.runUntil(() -> fleet.allEnginesRun(2), VirtualFleet.WEIGHT_CHANGE_LIMIT));
        assertHoldersAreSeparated();
    }

    // The registration of an engine shows that it has loaded before its holder queries it again. When entries that
    // had learned that it loads excluded it for another second, three of eight engines were idle after each roll of
    // the weights, while the others received every prompt.
    @Test
    public void anEngineThatHasLoadedIsUsedAgainAtOnce() {
        fleet.nameWeights(2);
        assertTrue(fleet.bench.runUntil(() -> fleet.allEnginesRun(2), VirtualFleet.WEIGHT_CHANGE_LIMIT));
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

    // The holder fails after the first orders, and half of the time limit has passed before the next one may order. A
    // holder that let a third of the engines load and kept new requests from another third left every prompt to the
    // rest for two seconds: to two of eight engines, and half of the callers disconnected.
    @Test
    public void aHolderUnderADeadlineLeavesMostEnginesToRequests() {
        fleet.nameWeights(2);
        assertTrue(fleet.bench.runUntil(() -> !fleet.orders.isEmpty(), Duration.ofSeconds(1)));
        fleet.bench.node(fleet.orders.get(0).from().value()).orElseThrow().kill();
        int maxOutOfUse = 0;
        Duration step = Duration.ofMillis(10);
        for (Duration passed = Duration.ZERO; !fleet.allEnginesRun(2); passed = passed.plus(step)) {
            assertTrue(passed.compareTo(VirtualFleet.WEIGHT_CHANGE_LIMIT) < 0, "not in time");
            fleet.bench.runFor(step);
            maxOutOfUse = Math.max(maxOutOfUse, fleet.enginesOutOfUse());
        }
        assertTrue(maxOutOfUse <= ENGINES / 2 - 1, maxOutOfUse + " of " + ENGINES + " engines out of use");
    }

    // The holder is cut off from the service and from all entries, but reaches the engines. It must stop by its own
    // clock, since no message can reach it.
    @Test
    public void aHolderThatIsCutOffStopsBeforeTheNextOneBegins() {
        fleet.nameWeights(2);
        assertTrue(fleet.bench.runUntil(() -> !fleet.orders.isEmpty(), Duration.ofSeconds(1)));
        BenchNode firstHolder =
                fleet.bench.node(fleet.orders.get(0).from().value()).orElseThrow();
        fleet.bench.keyValue().cutOff(firstHolder.entry());
        fleet.bench.cutFromAll(firstHolder);
        fleet.bench.runFor(Duration.ofSeconds(2));
        fleet.nameWeights(3);
        assertTrue(fleet.bench.runUntil(() -> fleet.allEnginesRun(3), TIMEOUT));
        assertHoldersAreSeparated();
    }

    // Orders are executed, but their answers are lost. A blind retry would load the weights twice; treating the
    // orders as lost would leave engines on old weights.
    @Test
    public void anOrderWithoutAnswerIsNeitherRetriedBlindlyNorGivenUp() {
        fleet.loseOrderAnswers(5);
        fleet.nameWeights(2);
        assertTrue(fleet.bench.runUntil(() -> fleet.allEnginesRun(2), VirtualFleet.WEIGHT_CHANGE_LIMIT));
        assertEquals(fleet.orders.size(), ENGINES);
    }

    // Version 3 is named four seconds after version 2 while the holder is suspended. When the time limit was counted
    // from version 3, requests began on version 1 eight seconds after version 2 had been named.
    @Test
    public void aSecondWeightChangeDoesNotExtendTheTimeLimitOfTheFirst() {
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

    private boolean allEntriesServe() {
        return nodes.stream()
                .allMatch(node -> node.state(PeersSnapshot.class)
                                .orElse(PeersSnapshot.none())
                                .serving()
                                .size()
                        == ENTRIES);
    }

    private EndpointId placeAndAnswer(BenchNode node) {
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
