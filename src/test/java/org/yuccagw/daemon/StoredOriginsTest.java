package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.origin.StreamBegun;
import org.yuccagw.core.origin.StreamOrigin;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.standins.platform.PlatformDocuments;

/** The origins of streams that the key-value service keeps, in fleets of all sizes: what they are worth and cost. */
public class StoredOriginsTest {
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(15);
    private static final Duration DECISION_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration STREAMS_ENDED = Duration.ofSeconds(100);
    private static final Duration ABANDONED = Duration.ofMinutes(7);
    private static final int SECONDS = 10;
    private static final int WRITES_PER_SECOND = 20;
    private static final int MAX_SLOTS = 32;
    private static final int DOMAINS = 5;

    private final List<BenchNode> nodes = new ArrayList<>();
    private final Map<RequestId, String> begun = new HashMap<>();
    private VirtualFleet fleet;

    /** Entries, and streams per second that may be taken up, as in the deployments of these sizes. */
    @DataProvider
    public static Object[][] fleets() {
        return new Object[][] {{3, 34}, {8, 34}, {66, 128}, {95, 105}};
    }

    // Guards against a fleet that refuses all streams, or joins them, after all entries ended at once.
    @Test(dataProvider = "fleets")
    public void nearlyAllStreamsGoOnAfterAllEntriesEndedAtOnce(int entries, int streamsPerSecond) {
        start(entries, "v2");
        begin(streamsPerSecond);
        fleet.bench.runFor(Duration.ofSeconds(3));
        restartAll();
        assertEquals(takeUpAll(), begun.size());
    }

    @Test(dataProvider = "fleets")
    public void streamsOfAVersionThatIsGoneAreRefused(int entries, int streamsPerSecond) {
        start(entries, "v2");
        begin(streamsPerSecond);
        fleet.expireRegistration("engine-2");
        fleet.expireRegistration("engine-3");
        fleet.bench.runFor(Duration.ofSeconds(3));
        restartAll();
        long ofOtherVersion =
                begun.values().stream().filter(version -> version.equals("v1")).count();
        assertEquals(takeUpAll(), ofOtherVersion);
    }

    @Test(dataProvider = "fleets")
    public void streamsThatBeganBeforeTheSecondVersionCameAreStoredToo(int entries, int streamsPerSecond) {
        start(entries, "v1");
        begin(streamsPerSecond);
        fleet.addEngine("engine-new", domain(0), "v2");
        fleet.bench.runFor(Duration.ofSeconds(8));
        restartAll();
        assertEquals(takeUpAll(), begun.size());
    }

    @Test(dataProvider = "fleets")
    public void allEntriesTogetherWriteABoundedNumberOfTimes(int entries, int streamsPerSecond) {
        start(entries, "v2");
        fleet.bench.runFor(Duration.ofSeconds(SECONDS));
        fleet.bench.keyValue().forgetCalls();
        fleet.bench.runFor(Duration.ofSeconds(SECONDS));
        Map<String, Long> idle = Map.copyOf(fleet.bench.keyValue().callsByKind());
        fleet.bench.keyValue().forgetCalls();
        begin(streamsPerSecond);
        Map<String, Long> busy = Map.copyOf(fleet.bench.keyValue().callsByKind());
        Reporter.log(
                entries + " entries, " + streamsPerSecond + " streams/s, calls in " + SECONDS + " s: without streams "
                        + idle + ", with " + busy + ", bytes stored " + storedBytes(),
                true);
        long writes = busy.getOrDefault("CompareAndSwap", 0L) - idle.getOrDefault("CompareAndSwap", 0L);
        assertTrue(writes <= WRITES_PER_SECOND * SECONDS + entries, "writes: " + writes);
    }

    @Test
    public void nothingIsStoredWhileAServiceHasOneVersion() {
        start(8, "v1");
        begin(34);
        fleet.bench.runFor(Duration.ofSeconds(3));
        assertEquals(storedBytes(), 0);
    }

    @Test
    public void whatIsStoredIsRemovedOnceItsStreamsHaveEnded() {
        start(8, "v2");
        begin(34);
        assertTrue(storedBytes() > 0);
        fleet.bench.runFor(STREAMS_ENDED);
        assertEquals(storedBytes(), 0);
    }

    @Test
    public void whatAnEntryLeftBehindIsRemovedByAnotherOne() {
        start(8, "v2");
        begin(34);
        nodes.get(0).kill();
        fleet.bench.runFor(STREAMS_ENDED);
        assertTrue(storedBytes() > 0);
        fleet.bench.runFor(ABANDONED);
        assertEquals(storedBytes(), 0);
    }

    @Test
    public void whatAnEarlierProcessStoredIsKeptByTheNextOne() {
        start(3, "v2");
        begin(34);
        fleet.bench.runFor(Duration.ofSeconds(3));
        restartAll();
        Map<RequestId, String> first = Map.copyOf(begun);
        begin(34);
        fleet.bench.runFor(Duration.ofSeconds(3));
        restartAll();
        assertTrue(begun.size() > first.size());
        assertEquals(takeUpAll(), begun.size());
    }

    @Test
    public void originsAreStoredAfterTheServiceWasAwayOrRestored() {
        start(8, "v2");
        var copy = fleet.bench.keyValue().copy();
        begin(34);
        fleet.bench.keyValue().setDown(true);
        fleet.bench.runFor(Duration.ofSeconds(3));
        fleet.bench.keyValue().restore(copy);
        fleet.bench.keyValue().setDown(false);
        begin(34);
        fleet.bench.runFor(Duration.ofSeconds(8));
        restartAll();
        assertTrue(takeUpAll() * 2 >= begun.size(), "of " + begun.size());
    }

    /** Starts the entries, two engines of v1 and two of the given version. */
    private void start(int entries, String secondVersion) {
        fleet = new VirtualFleet();
        nodes.clear();
        begun.clear();
        for (int index = 0; index < entries; index++) {
            nodes.add(fleet.start("entry-" + index, domain(index)));
        }
        fleet.configure(1);
        for (int index = 0; index < 4; index++) {
            fleet.addEngine("engine-" + index, VirtualLoad.domainOf(index), index < 2 ? "v1" : secondVersion);
        }
        fleet.bench.runFor(Duration.ofSeconds(SECONDS));
    }

    private static FailureDomain domain(int index) {
        return FailureDomain.of("domain-" + index % DOMAINS);
    }

    private void begin(int streamsPerSecond) {
        for (int index = 0; index < streamsPerSecond * SECONDS; index++) {
            BenchNode entry = nodes.get(index % nodes.size());
            String engine = "engine-" + index % 4;
            String version = fleet.softwareOf(engine);
            RequestId id = RequestId.of(String.format("%016x", begun.size()));
            StreamOrigin origin = new StreamOrigin(id, ServiceName.of("engines"), SoftwareVersion.of(version));
            EndpointIncarnation start =
                    EndpointIncarnation.of(EndpointId.of(engine), PlatformDocuments.FIRST_START_MILLIS);
            entry.offer(new StreamBegun(origin, start, CALLER_TIMEOUT));
            begun.put(id, version);
            fleet.bench.runFor(Duration.ofSeconds(1).dividedBy(streamsPerSecond));
        }
    }

    private void restartAll() {
        nodes.forEach(BenchNode::kill);
        nodes.replaceAll(
                node -> fleet.start(node.entry().value(), node.identity().domain()));
        fleet.bench.runUntil(
                () -> nodes.stream().allMatch(node -> VirtualFleet.configurationOf(node) > 0), DECISION_TIMEOUT);
        fleet.bench.runFor(Duration.ofSeconds(2));
    }

    /** Takes all streams up and returns how many go on; none may go on at another version than its own. */
    private long takeUpAll() {
        long wentOn = 0;
        int number = 0;
        for (Map.Entry<RequestId, String> stream : begun.entrySet()) {
            BenchNode entry = nodes.get(number++ % nodes.size());
            List<PlacementDecision> decisions = new ArrayList<>();
            fleet.takeUp(entry, stream.getKey(), decisions::add);
            assertTrue(fleet.bench.runUntil(() -> !decisions.isEmpty(), DECISION_TIMEOUT));
            if (decisions.get(0) instanceof PlacementDecision.Placed placed) {
                assertEquals(placed.endpoint().software().value(), stream.getValue());
                entry.offer(new AttemptEnded(placed.ticket(), AttemptEnded.End.ANSWERED));
                wentOn++;
            }
        }
        return wentOn;
    }

    private int storedBytes() {
        int bytes = 0;
        for (BenchNode node : nodes) {
            for (int slot = 0; slot < MAX_SLOTS; slot++) {
                bytes += fleet.bench
                        .keyValue()
                        .peek("yuccagw/streams/" + node.entry() + "/" + slot)
                        .map(value -> value.length)
                        .orElse(0);
            }
        }
        return bytes;
    }
}
