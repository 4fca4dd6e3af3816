package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.fleet.ModelWeights;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.peers.PeerStatus;
import org.yuccagw.core.peers.PeersComponent.PeerStatusReceived;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest.Kind;
import org.yuccagw.standins.platform.PlatformDocuments;

/** Endpoints that start again under the id that they had. */
public class EndpointRestartTest {
    private static final NetworkAddress ANYWHERE = NetworkAddress.of("127.0.0.1", 9);
    private static final long SECOND_START = 2 * PlatformDocuments.FIRST_START_MILLIS;
    private static final Duration LONG = Duration.ofSeconds(30);

    private VirtualFleet fleet;
    private BenchNode first;
    private BenchNode second;

    @BeforeMethod
    public void startEntries() {
        fleet = new VirtualFleet();
        first = fleet.start("entry-1");
        second = fleet.start("entry-2");
        fleet.configure(1);
        fleet.addPlain("plain-1");
        fleet.addEngine("engine-1");
        fleet.bench.runFor(Duration.ofSeconds(4));
    }

    // An endpoint says that it leaves and starts again under its id a moment later. An entry for which leaving was
    // final
    // for the id never used it again: its callers were refused while a ready endpoint stood idle.
    @Test
    public void anEndpointThatWasLeavingIsOfUseOnceItHasStartedAgain() {
        registerPlain(true, PlatformDocuments.FIRST_START_MILLIS);
        assertTrue(placePlain() instanceof PlacementDecision.Refused);
        registerPlain(false, SECOND_START);
        assertEquals(endpointOf(placePlain()), EndpointId.of("plain-1"));
    }

    @Test
    public void anEndpointWhoseAddressAnotherHadIsOfUseOnceItHasStartedAgain() {
        PlacementDecision.Placed placed = (PlacementDecision.Placed) placePlain();
        first.offer(new AttemptEnded(placed.ticket(), AttemptEnded.End.WRONG_ENDPOINT));
        assertTrue(placePlain() instanceof PlacementDecision.Refused);
        registerPlain(false, SECOND_START);
        assertEquals(endpointOf(placePlain()), EndpointId.of("plain-1"));
    }

    // The registration of an endpoint that started again is there, and then one of its earlier start is written once
    // more. What is true of the earlier start, here that it leaves, must not end the later one.
    @Test
    public void aRegistrationOfAnEarlierStartIsPassedOver() {
        registerPlain(false, SECOND_START);
        registerPlain(true, PlatformDocuments.FIRST_START_MILLIS);
        assertEquals(endpointOf(placePlain()), EndpointId.of("plain-1"));
    }

    // Two starts within a second, the registration the same but for the time of the start: the requests that were under
    // way at the earlier start are over for the endpoint, and their ends are not taken off what runs there now.
    @Test
    public void whatRanAtAnEarlierStartDoesNotCountForTheNext() {
        PlacementDecision.Placed before = (PlacementDecision.Placed) placePlain();
        registerPlain(false, SECOND_START);
        registerPlain(false, SECOND_START + 400);
        PlacementDecision.Placed after = (PlacementDecision.Placed) placePlain();
        first.offer(new AttemptEnded(before.ticket(), AttemptEnded.End.BROKEN));
        fleet.bench.runFor(Duration.ofMillis(10));
        assertEquals(fleet.requestsOn(first, "plain-1"), 1);
        first.offer(new AttemptEnded(after.ticket(), AttemptEnded.End.ANSWERED));
        fleet.bench.runFor(Duration.ofMillis(10));
        assertEquals(fleet.requestsOn(first, "plain-1"), 0);
    }

    // An engine was heard to run version 3 and starts again with version 1. Its prompts must carry the cache salt of
    // version 1: what it computes is kept under that name, and a request that expects version 3 is turned away.
    @Test
    public void anEngineThatStartsAgainWithOlderWeightsIsUsedWithThose() {
        hearFromPeer(PlatformDocuments.FIRST_START_MILLIS, 3);
        assertEquals(placePrompt().version().getAsLong(), 3);
        fleet.restartEngine("engine-1", 1);
        fleet.bench.runFor(Duration.ofMillis(300));
        assertEquals(placePrompt().version().getAsLong(), 1);
    }

    @Test
    public void aLateHeartbeatAboutAnEarlierStartChangesNothing() {
        fleet.restartEngine("engine-1", 1);
        fleet.bench.runFor(Duration.ofMillis(300));
        hearFromPeer(PlatformDocuments.FIRST_START_MILLIS, 3);
        assertEquals(placePrompt().version().getAsLong(), 1);
        assertEquals(fleet.requestsOn(first, "engine-1"), 1);
    }

    // A late order brought an engine back to version 1 after it was heard to run version 3. Its registration says so;
    // an
    // entry that only ever believed the higher version got nothing from it but answers of a misdirected request.
    @Test
    public void aRegistrationThatComesLongAfterIsBelievedOverWhatWasHeard() {
        hearFromPeer(PlatformDocuments.FIRST_START_MILLIS, 3);
        fleet.bench.runFor(Duration.ofSeconds(4));
        fleet.bench
                .keyValue()
                .put(
                        PlatformDocuments.endpointKey("engine-1"),
                        PlatformDocuments.engine("engines", ANYWHERE, "ulemiste", VirtualFleet.MODEL, 1));
        fleet.bench.runFor(Duration.ofMillis(300));
        assertEquals(placePrompt().version().getAsLong(), 1);
    }

    // Engines start again in the middle of loading: the order is lost with the start, and the count of accepted orders
    // begins anew. The holder of the duty must order again, with the new count.
    @Test
    public void anEngineThatStartsAgainWhileItLoadsIsOrderedAgain() {
        fleet.nameWeights(2);
        assertTrue(fleet.bench.runUntil(() -> !fleet.orders.isEmpty(), LONG));
        fleet.bench.runFor(Duration.ofMillis(100));
        fleet.restartEngine("engine-1", 1);
        assertTrue(fleet.bench.runUntil(() -> fleet.allRun(2), VirtualFleet.OLD_WEIGHTS_ALLOWED));
    }

    @Test
    public void anEngineThatStartsAgainAfterItHasLoadedIsOrderedAgain() {
        fleet.nameWeights(2);
        assertTrue(fleet.bench.runUntil(() -> fleet.allRun(2), LONG));
        fleet.restartEngine("engine-1", 1);
        assertTrue(fleet.bench.runUntil(() -> fleet.allRun(2), VirtualFleet.OLD_WEIGHTS_ALLOWED));
    }

    // A request ends the endpoint that runs it, which starts again under its id, twice. Counted by id that was one
    // endpoint, and the request went on to end it a third and a fourth time.
    @Test
    public void aRequestThatEndsTwoStartsOfOneEndpointIsRefused() {
        List<Long> starts = new ArrayList<>(List.of(SECOND_START, 2 * SECOND_START));
        for (long start : starts) {
            PlacementDecision.Placed placed = (PlacementDecision.Placed) placePlain();
            first.offer(new AttemptEnded(placed.ticket(), AttemptEnded.End.BROKEN));
            registerPlain(false, start);
        }
        assertTrue(placePlain() instanceof PlacementDecision.Refused);
    }

    private void registerPlain(boolean leaving, long startedMillis) {
        fleet.bench
                .keyValue()
                .put(
                        PlatformDocuments.endpointKey("plain-1"),
                        PlatformDocuments.endpoint("plain", ANYWHERE, "ulemiste", leaving, startedMillis));
        fleet.bench.runFor(Duration.ofMillis(300));
    }

    /** Entry 2 tells entry 1 that it has a request on a start of the engine, which runs the version there. */
    private void hearFromPeer(long startedMillis, long version) {
        EndpointIncarnation engine = EndpointIncarnation.of(EndpointId.of("engine-1"), startedMillis);
        first.offer(new PeerStatusReceived(
                second.entry(),
                new PeerStatus(
                        VirtualFleet.contactOf(second),
                        true,
                        false,
                        1,
                        300,
                        ImmutableList.of(new PeerStatus.Load(engine, 1, 950, 0)),
                        ImmutableList.of(),
                        ImmutableList.of(
                                new PeerStatus.Weights(engine, new ModelWeights(VirtualFleet.MODEL, version))))));
        fleet.bench.runFor(Duration.ofMillis(5));
    }

    private PlacementDecision placePlain() {
        return fleet.place(first, "/plain/x", Kind.FIRST, "fingerprint");
    }

    private PlacementDecision.Placed placePrompt() {
        return (PlacementDecision.Placed) fleet.place(first, "/model/x", Kind.FIRST, "prompt");
    }

    private static EndpointId endpointOf(PlacementDecision decision) {
        return ((PlacementDecision.Placed) decision).endpoint().id();
    }
}
