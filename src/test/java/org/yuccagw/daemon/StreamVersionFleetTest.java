package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.membership.StopRequested;
import org.yuccagw.core.origin.OriginsSnapshot;
import org.yuccagw.core.origin.StreamBegun;
import org.yuccagw.core.origin.StreamOrigin;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementMessage;
import org.yuccagw.standins.platform.PlatformDocuments;

/** Guards against streams that are taken up at another software version, or not at all, in fleets of all sizes. */
public class StreamVersionFleetTest {
    private static final int STREAMS = 60;
    private static final int DOMAINS = 3;
    private static final Duration STREAM_TIME = Duration.ofSeconds(5);
    private static final Duration LONGEST_STREAM = Duration.ofSeconds(60);
    private static final Duration RECORDS_TOLD = Duration.ofMillis(20);
    private static final Duration DECISION_TIMEOUT = Duration.ofSeconds(3);

    private final SplittableRandom random = new SplittableRandom(63);
    private final List<BenchNode> nodes = new ArrayList<>();
    private VirtualFleet fleet;
    private final List<String> refusals = new ArrayList<>();
    private int wentOn;

    /** A stream that began at a version. */
    private record Stream(RequestId id, SoftwareVersion software) {}

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{3}, {8}, {23}, {66}, {95}};
    }

    @Test(dataProvider = "sizes")
    public void aStreamGoesOnAtItsVersionThroughAnyEntry(int entries) {
        start(entries);
        takeUpAll(begin());
        assertEquals(wentOn, STREAMS, refusals.toString());
    }

    @Test(dataProvider = "sizes")
    public void aStreamGoesOnAfterItsEntryWasKilled(int entries) {
        start(entries);
        BenchNode killed = nodes.get(0);
        List<Stream> streams = begin(List.of(killed));
        killed.kill();
        takeUpAll(streams);
        assertEquals(wentOn, STREAMS, refusals.toString());
    }

    @Test(dataProvider = "sizes")
    public void halfOfTheStreamsGoOnAfterMoreThanHalfOfTheEntriesWereKilled(int entries) {
        start(entries);
        List<Stream> streams = begin();
        nodes.subList(0, entries * 6 / 10).forEach(BenchNode::kill);
        takeUpAll(streams);
        assertTrue(wentOn >= STREAMS / 2, wentOn + " went on: " + refusals);
    }

    @Test(dataProvider = "sizes")
    public void aStreamGoesOnAfterAllEntriesWereRestartedOneByOne(int entries) {
        start(entries);
        List<Stream> streams = begin();
        int restarts = Math.min(entries, 8);
        for (int index = 0; index < restarts; index++) {
            restart(index);
        }
        takeUpAll(streams);
        assertEquals(wentOn, STREAMS, refusals.toString());
    }

    @Test(dataProvider = "sizes")
    public void aStreamGoesOnThroughAnEntryThatHasJustStarted(int entries) {
        start(entries);
        List<Stream> streams = begin();
        BenchNode started = fleet.start("entry-new", domain(0));
        fleet.bench.runUntil(() -> VirtualFleet.configurationOf(started) > 0, DECISION_TIMEOUT);
        streams.forEach(stream -> takeUp(stream, started));
        assertEquals(wentOn, STREAMS, refusals.toString());
    }

    @Test(dataProvider = "sizes")
    public void aStreamThatNoEntryKnowsIsRefusedThoughItsServiceNowHasOneVersion(int entries) {
        start(entries);
        fleet.expireRegistration("engine-2");
        fleet.expireRegistration("engine-3");
        fleet.bench.runFor(Duration.ofSeconds(1));
        PlacementDecision decision = takeUp(RequestId.of("unknown"), nodes.get(0));
        assertTrue(decision instanceof PlacementDecision.Refused, decision.toString());
    }

    @Test(dataProvider = "sizes")
    public void aStreamThatNoEntryKnowsGoesOnIfItsServiceHadOneVersionAllTheTime(int entries) {
        start(entries, "v1");
        PlacementDecision early = takeUp(RequestId.of("unknown"), nodes.get(0));
        assertTrue(early instanceof PlacementDecision.Refused, early.toString());
        fleet.bench.runFor(LONGEST_STREAM);
        PlacementDecision decision = takeUp(RequestId.of("unknown"), nodes.get(0));
        assertTrue(decision instanceof PlacementDecision.Placed, decision.toString());
    }

    @Test
    public void aPlacementOfALeadThatIgnoresTheVersionIsNotUsed() {
        start(23);
        Stream stream = begin().get(0);
        BenchNode entry = follower();
        List<PlacementDecision> decisions = new ArrayList<>();
        fleet.takeUp(entry, stream.id(), decisions::add);
        EntryId lead = fleet.leadsKnownTo(entry).get(0);
        String other = stream.software().value().equals("v1") ? "engine-2" : "engine-0";
        // The entry's first question to its lead has this number.
        long number = entry.identity().incarnation() * 1_000;
        for (int millis = 0; millis < 40; millis++) {
            entry.offer(new PeerReceived(lead, placedOn(other, number)));
            fleet.bench.runFor(Duration.ofMillis(1));
        }
        fleet.bench.runUntil(() -> !decisions.isEmpty(), DECISION_TIMEOUT);
        assertEquals(softwareOf(decisions.get(0)), Optional.of(stream.software()));
    }

    @Test
    public void aStreamDoesNotMoveToAnotherServiceThanTheOneThatBeganIt() {
        start(8);
        RequestId id = RequestId.of("of-another-service");
        StreamOrigin origin = new StreamOrigin(id, ServiceName.of("plain"), SoftwareVersion.of("v1"));
        nodes.get(0).offer(new StreamBegun(origin, start("engine-0"), STREAM_TIME));
        assertEquals(refusalOf(takeUp(id, nodes.get(0))), ErrorKind.SOFTWARE_GONE);
    }

    @Test
    public void aVersionWhoseEndpointsWereLostMayComeBackForAWhile() {
        start(8);
        RequestId id = beginAt("engine-2");
        fleet.expireRegistration("engine-2");
        fleet.expireRegistration("engine-3");
        fleet.bench.runFor(Duration.ofSeconds(1));
        assertEquals(refusalOf(takeUp(id, nodes.get(1))), ErrorKind.NO_ENDPOINT);
        fleet.bench.runFor(Duration.ofSeconds(4));
        assertEquals(refusalOf(takeUp(id, nodes.get(1))), ErrorKind.SOFTWARE_GONE);
    }

    // Guards against a stream that its endpoint began after it had started again, under its id, with other software.
    @Test
    public void aStreamThatEitherOfTwoStartsMayHaveBegunIsNotTakenForOneOfTheFirst() {
        start(8);
        fleet.setSoftware("engine-0", "v2");
        fleet.restartEngine("engine-0", 1);
        fleet.bench.runFor(Duration.ofSeconds(1));
        RequestId id = RequestId.of("ambiguous");
        StreamOrigin origin = new StreamOrigin(id, ServiceName.of("engines"), SoftwareVersion.of("v1"));
        nodes.get(0).offer(new StreamBegun(origin, start("engine-0"), STREAM_TIME));
        PlacementDecision decision = takeUp(id, nodes.get(0));
        assertTrue(decision instanceof PlacementDecision.Refused, decision.toString());
    }

    @Test
    public void originsAreForgottenAfterTheCallersTime() {
        start(8);
        begin();
        assertTrue(originsKept() >= STREAMS, "kept: " + originsKept());
        fleet.bench.runFor(STREAM_TIME.plusSeconds(3));
        assertEquals(originsKept(), 0);
    }

    private void start(int entries) {
        start(entries, "v2");
    }

    /** Starts the entries, two engines of v1 and two of the given version. */
    private void start(int entries, String secondVersion) {
        fleet = new VirtualFleet();
        nodes.clear();
        refusals.clear();
        wentOn = 0;
        for (int index = 0; index < entries; index++) {
            nodes.add(fleet.start("entry-" + index, domain(index)));
        }
        fleet.configure(1);
        for (int index = 0; index < 4; index++) {
            fleet.addEngine("engine-" + index, VirtualLoad.domainOf(index), index < 2 ? "v1" : secondVersion);
        }
        fleet.bench.runFor(Duration.ofSeconds(10));
    }

    private static FailureDomain domain(int index) {
        return FailureDomain.of("domain-" + index % DOMAINS);
    }

    private List<Stream> begin() {
        return begin(nodes);
    }

    private List<Stream> begin(List<BenchNode> entries) {
        List<Stream> streams = new ArrayList<>();
        for (int index = 0; index < STREAMS; index++) {
            BenchNode entry = entries.get(random.nextInt(entries.size()));
            int engine = random.nextInt(4);
            SoftwareVersion software = SoftwareVersion.of(engine < 2 ? "v1" : "v2");
            RequestId id = RequestId.of("stream-" + index);
            StreamOrigin origin = new StreamOrigin(id, ServiceName.of("engines"), software);
            entry.offer(new StreamBegun(origin, start("engine-" + engine), STREAM_TIME));
            streams.add(new Stream(id, software));
        }
        fleet.bench.runFor(RECORDS_TOLD);
        return streams;
    }

    private RequestId beginAt(String engine) {
        RequestId id = RequestId.of("stream-at-" + engine);
        StreamOrigin origin = new StreamOrigin(id, ServiceName.of("engines"), SoftwareVersion.of("v2"));
        nodes.get(0).offer(new StreamBegun(origin, start(engine), STREAM_TIME));
        fleet.bench.runFor(RECORDS_TOLD);
        return id;
    }

    private static ErrorKind refusalOf(PlacementDecision decision) {
        return ((PlacementDecision.Refused) decision).error().kind();
    }

    private static EndpointIncarnation start(String engine) {
        return EndpointIncarnation.of(EndpointId.of(engine), PlatformDocuments.FIRST_START_MILLIS);
    }

    private void restart(int index) {
        BenchNode node = nodes.get(index);
        node.offer(new StopRequested());
        fleet.bench.runFor(Duration.ofMillis(300));
        node.kill();
        nodes.set(index, fleet.start(node.entry().value(), node.identity().domain()));
        fleet.bench.runFor(Duration.ofMillis(250));
    }

    private void takeUpAll(List<Stream> streams) {
        List<BenchNode> alive = nodes.stream().filter(node -> !node.isDead()).toList();
        streams.forEach(stream -> takeUp(stream, alive.get(random.nextInt(alive.size()))));
    }

    private void takeUp(Stream stream, BenchNode entry) {
        Optional<SoftwareVersion> software = softwareOf(takeUp(stream.id(), entry));
        software.ifPresent(used -> assertEquals(used, stream.software(), stream.toString()));
        wentOn += software.isPresent() ? 1 : 0;
    }

    private PlacementDecision takeUp(RequestId id, BenchNode entry) {
        List<PlacementDecision> decisions = new ArrayList<>();
        fleet.takeUp(entry, id, decisions::add);
        assertTrue(fleet.bench.runUntil(() -> !decisions.isEmpty(), DECISION_TIMEOUT), id.toString());
        if (decisions.get(0) instanceof PlacementDecision.Placed placed) {
            entry.offer(new AttemptEnded(placed.ticket(), AttemptEnded.End.ANSWERED));
        } else if (decisions.get(0) instanceof PlacementDecision.Refused refused) {
            refusals.add(refused.error().getMessage());
        }
        return decisions.get(0);
    }

    private static Optional<SoftwareVersion> softwareOf(PlacementDecision decision) {
        return decision instanceof PlacementDecision.Placed placed
                ? Optional.of(placed.endpoint().software())
                : Optional.empty();
    }

    private BenchNode follower() {
        List<EntryId> leads = fleet.leadsKnownTo(nodes.get(0));
        return nodes.stream()
                .filter(node -> node.identity().domain().equals(domain(0)))
                .filter(node -> !leads.contains(node.entry()))
                .findFirst()
                .orElseThrow();
    }

    private static PlacementMessage placedOn(String engine, long number) {
        return new PlacementMessage.Placed(
                number, start(engine), OptionalLong.of(1), Optional.empty(), Optional.empty(), 1, 50, 950, 900, false);
    }

    private int originsKept() {
        return nodes.stream()
                .mapToInt(node -> node.state(OriginsSnapshot.class)
                        .orElse(OriginsSnapshot.NONE)
                        .kept())
                .sum();
    }
}
