package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EntryId;

/** Engines that reject requests of an entry and name a back-off, during which the entry has to send nothing. */
public class BackOffTest {
    private static final Duration NOTICE_SPREAD_TIME = Duration.ofMillis(500);
    private static final Duration BACK_OFF = Duration.ofSeconds(3);
    private static final long MAX_CALLS_DURING_BACK_OFF = 2;
    private static final long IMMEDIATE_MILLIS = 50;
    private static final int ENGINES = 12;
    private static final int MESH_FLEET_SIZE = 8;
    private static final int LARGE_FLEET_SIZE = 66;
    private static final String BUSY_ENGINE = "engine-0";

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{MESH_FLEET_SIZE}, {20}, {LARGE_FLEET_SIZE}, {95}};
    }

    @DataProvider
    public Object[][] sizesAndTimes() {
        return new Object[][] {
            {MESH_FLEET_SIZE, 3_000},
            {MESH_FLEET_SIZE, 900},
            {MESH_FLEET_SIZE, 12_000},
            {LARGE_FLEET_SIZE, 3_000},
            {LARGE_FLEET_SIZE, 12_000}
        };
    }

    private static VirtualLoad startWithBusyEngine(int entries, Duration backOff) {
        VirtualLoad load = VirtualLoad.start(entries, ENGINES);
        load.runTraffic(Duration.ofSeconds(1));
        load.reject(BUSY_ENGINE, backOff);
        return load;
    }

    private static void assertBackOffKept(VirtualLoad load, List<VirtualLoad.Arrival> sent) {
        assertTrue(!load.rejections.isEmpty(), "no request was rejected");
        long max = load.maxSentDuringBackOff(NOTICE_SPREAD_TIME, sent);
        assertTrue(
                max <= MAX_CALLS_DURING_BACK_OFF,
                max + " calls of one entry during a back-off, at most " + MAX_CALLS_DURING_BACK_OFF);
    }

    // Without a back-off each arriving request is rejected, and the next one is still sent to the endpoint.
    @Test(dataProvider = "sizesAndTimes")
    public void anEntryThatAnEndpointRejectedSendsItNoRequestsDuringTheBackOff(int entries, int millis) {
        VirtualLoad load = startWithBusyEngine(entries, Duration.ofMillis(millis));
        load.runTraffic(Duration.ofSeconds(15));
        assertBackOffKept(load, load.arrivals);
    }

    // The queries for cache events alone exceed what the engine accepts.
    @Test(dataProvider = "sizesAndTimes")
    public void queriesForCacheEventsStopDuringTheBackOff(int entries, int millis) {
        VirtualLoad load = startWithBusyEngine(entries, Duration.ofMillis(millis));
        load.runTraffic(Duration.ofSeconds(15));
        assertBackOffKept(load, load.allCalls());
    }

    /** Starts two engines that both reject every entry after a second. */
    private static VirtualLoad startWithAllEnginesBusy(int entries, Duration backOff) {
        VirtualLoad load = VirtualLoad.start(entries, 2);
        load.runTraffic(Duration.ofSeconds(1));
        load.reject(BUSY_ENGINE, backOff);
        load.reject("engine-1", backOff);
        return load;
    }

    // The holder of the duty queries the state of a loading engine many times a second.
    @Test(dataProvider = "sizes")
    public void newWeightsReachRejectingEnginesInTimeAndWithFewCalls(int entries) {
        VirtualLoad load = startWithAllEnginesBusy(entries, BACK_OFF);
        load.runTraffic(Duration.ofSeconds(4));
        load.fleet.nameWeights(2);
        load.runTraffic(VirtualFleet.WEIGHT_CHANGE_LIMIT);
        assertTrue(load.fleet.allEnginesRun(2), "weights: " + load.fleet.weights);
        assertBackOffKept(load, load.allCalls());
    }

    // Operators name weights three times within one back-off; each change alone costs a state query and an order.
    @Test(dataProvider = "sizes")
    public void severalWeightChangesCauseNoMoreCallsToARejectingEngine(int entries) {
        VirtualLoad load = startWithAllEnginesBusy(entries, Duration.ofSeconds(12));
        load.runTraffic(Duration.ofSeconds(2));
        for (int version = 2; version <= 4; version++) {
            load.fleet.nameWeights(version);
            load.runTraffic(Duration.ofSeconds(3));
        }
        assertBackOffKept(load, load.allCalls());
    }

    // The engine may not be called for a minute, and would occupy the turn to load for all that time.
    @Test(dataProvider = "sizes")
    public void newWeightsReachTheOtherEnginesWhileOneAllowsNoCalls(int entries) {
        VirtualLoad load = VirtualLoad.start(entries, 4);
        load.fleet.nameWeights(2);
        load.runTraffic(VirtualFleet.WEIGHT_CHANGE_LIMIT);
        load.sendBackOffToAll(BUSY_ENGINE, Duration.ofSeconds(60));
        for (int version = 3; version <= 5; version++) {
            load.fleet.nameWeights(version);
            load.runTraffic(VirtualFleet.WEIGHT_CHANGE_LIMIT);
        }
        for (int index = 1; index < 4; index++) {
            assertEquals(load.fleet.weights.get(EndpointId.of("engine-" + index)), Long.valueOf(5));
        }
    }

    // The state of the engines is unavailable, and would be queried over and over.
    @Test(dataProvider = "sizes")
    public void rejectingEnginesThatDoNotReportTheirStateAreNotQueriedAgain(int entries) {
        VirtualLoad load = startWithAllEnginesBusy(entries, Duration.ofSeconds(12));
        load.fleet.dropStateAnswers();
        load.runTraffic(Duration.ofSeconds(2));
        load.fleet.nameWeights(2);
        load.runTraffic(Duration.ofSeconds(10));
        assertBackOffKept(load, load.allCalls());
    }

    // A request that is already in flight is rejected too, with a shorter back-off than the one before.
    @Test
    public void aShorterBackOffDoesNotReplaceALongerOne() {
        VirtualLoad load = startWithBusyEngine(MESH_FLEET_SIZE, Duration.ofSeconds(6));
        load.runTraffic(Duration.ofMillis(20));
        load.reject(BUSY_ENGINE, Duration.ofMillis(700));
        load.runTraffic(Duration.ofSeconds(6));
        assertBackOffKept(load, load.arrivals);
    }

    // The first lead is killed, and the entry that decides next has no state about the back-off that the entry
    // received.
    @Test
    public void anEntryWhoseLeadFailsKeepsToTheBackOff() {
        VirtualLoad load = startWithBusyEngine(LARGE_FLEET_SIZE, Duration.ofSeconds(6));
        load.runTraffic(Duration.ofSeconds(2));
        load.fleet
                .leadsKnownTo(load.nodes.get(0))
                .forEach(lead -> load.node(lead).kill());
        load.runTraffic(Duration.ofSeconds(6));
        assertBackOffKept(load, load.arrivals);
    }

    // The entry is cut off from the other entries when the engine rejects it.
    @Test
    public void anEntryThatIsCutOffKeepsToTheBackOff() {
        VirtualLoad load = startWithBusyEngine(LARGE_FLEET_SIZE, BACK_OFF);
        load.nodes.subList(0, 10).forEach(load.fleet.bench::cutFromAll);
        load.runTraffic(Duration.ofSeconds(8));
        assertBackOffKept(load, load.arrivals);
    }

    @Test
    public void anEndpointIsUsedAtOnceAfterItsRestart() {
        VirtualLoad load = startWithBusyEngine(MESH_FLEET_SIZE, Duration.ofSeconds(60));
        load.runTraffic(Duration.ofSeconds(2));
        load.restartEngine(BUSY_ENGINE);
        load.fleet.bench.runFor(Duration.ofMillis(300));
        long from = load.now();
        load.runTraffic(Duration.ofSeconds(1));
        long received = load.count(BUSY_ENGINE, from, load.now());
        assertTrue(received > 10, "received " + received);
    }

    // Only one entry sends too much; the engine has free capacity for all others.
    @Test(dataProvider = "sizes")
    public void anEndpointThatRejectsOneEntryIsUsedByTheOthers(int entries) {
        VirtualLoad load = startWithBusyEngine(entries, BACK_OFF);
        EntryId one = load.nodes.get(2).entry();
        load.rejectOnly(one);
        load.runTraffic(Duration.ofSeconds(4));
        long from = load.now();
        load.runTraffic(Duration.ofSeconds(6));
        assertBackOffKept(load, load.arrivals);
        long received = load.count(BUSY_ENGINE, from, load.now());
        long otherEngineReceived = load.count("engine-2", from, load.now());
        assertTrue(
                received > otherEngineReceived / 4, received + " while another engine received " + otherEngineReceived);
        assertEquals(load.refused.size(), 0);
    }

    // Many requests wait for the end of the back-off; one of them has to probe the engine before the others are sent.
    @Test(dataProvider = "sizes")
    public void fewRequestsArriveAtOnceWhenTheBackOffEnds(int entries) {
        VirtualLoad load = startWithAllEnginesBusy(entries, BACK_OFF);
        load.runTraffic(Duration.ofSeconds(7));
        long max = maxFromOneEntryWithin(load, BUSY_ENGINE, Duration.ofMillis(400));
        assertTrue(max <= MAX_CALLS_DURING_BACK_OFF, max + " requests of one entry within 400 ms");
    }

    private static long maxFromOneEntryWithin(VirtualLoad load, String engine, Duration span) {
        long begin = load.rejections.get(0).atNanos() + NOTICE_SPREAD_TIME.toNanos();
        List<VirtualLoad.Arrival> sent = load.arrivals.stream()
                .filter(arrival -> arrival.engine().equals(engine) && arrival.atNanos() >= begin)
                .toList();
        return sent.stream()
                .mapToLong(first -> sent.stream()
                        .filter(other -> other.from().equals(first.from()))
                        .filter(other -> other.atNanos() >= first.atNanos()
                                && other.atNanos() - first.atNanos() < span.toNanos())
                        .count())
                .max()
                .orElse(0);
    }

    @Test(dataProvider = "sizes")
    public void anEndpointThatAcceptsRequestsAgainSoonReceivesAsManyAsTheOthers(int entries) {
        VirtualLoad load = startWithBusyEngine(entries, BACK_OFF);
        load.runTraffic(Duration.ofSeconds(5));
        load.acceptAgain(BUSY_ENGINE);
        load.runTraffic(BACK_OFF.plusMillis(500));
        long from = load.now();
        load.runTraffic(Duration.ofSeconds(2));
        long received = load.count(BUSY_ENGINE, from, load.now());
        long otherEngineReceived = load.count("engine-2", from, load.now());
        assertTrue(
                received > otherEngineReceived / 2, received + " while another engine received " + otherEngineReceived);
    }

    // A third of the engines rejects requests. Each retry is paid from a budget, and callers are refused once it is
    // spent.
    @Test(dataProvider = "sizes")
    public void callersAreServedByTheOtherEnginesWhileAThirdRejects(int entries) {
        VirtualLoad load = VirtualLoad.start(entries, ENGINES);
        load.runTraffic(Duration.ofSeconds(1));
        for (int index = 0; index < ENGINES / 3; index++) {
            load.reject("engine-" + index, BACK_OFF);
        }
        load.runTraffic(Duration.ofSeconds(12));
        assertEquals(load.refused.size(), 0, "refused requests; retries " + load.retries + ", served " + load.served);
    }

    // No caller can be served for seconds, so keeping callers until their timeout would help none of them.
    @Test(dataProvider = "sizes")
    public void callersAreRefusedAtOnceWhileAllEndpointsReject(int entries) {
        VirtualLoad load = VirtualLoad.start(entries, ENGINES);
        load.runTraffic(Duration.ofSeconds(1));
        for (int index = 0; index < ENGINES; index++) {
            load.reject("engine-" + index, Duration.ofSeconds(30));
        }
        load.runTraffic(Duration.ofSeconds(6));
        load.refused.clear();
        load.runTraffic(Duration.ofSeconds(6));
        assertTrue(load.refused.size() > 1_500, "refused " + load.refused.size());
        long late = load.refused.stream()
                .filter(each -> each.waitedMillis() > IMMEDIATE_MILLIS)
                .count();
        long early = load.refused.stream()
                .filter(each -> each.retryAfter().orElse(Duration.ZERO).toSeconds() < 10)
                .count();
        assertEquals(late, 0, "requests refused late");
        assertEquals(early, 0, "refusals with a retry time before the first engine is free");
    }

    @Test
    public void anEntryKeepsToTheBackOffAfterASuspension() {
        VirtualLoad load = startWithBusyEngine(MESH_FLEET_SIZE, Duration.ofSeconds(8));
        load.runTraffic(Duration.ofSeconds(2));
        BenchNode suspended = load.nodes.get(0);
        suspended.pause(Duration.ofSeconds(2));
        load.runTraffic(Duration.ofSeconds(5));
        assertBackOffKept(load, load.arrivals);
    }
}
