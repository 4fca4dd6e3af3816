package org.yuccagw.daemon;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;

/**
 * Engines that name a rate limit in their answers: the calls that arrive from all entries together stay within it,
 * from half a second after it was first named.
 */
public class RateLimitTest {
    private static final Duration NOTICE_SPREAD_TIME = Duration.ofMillis(500);
    private static final long IMMEDIATE_MILLIS = 50;
    private static final int ENGINES = 12;
    private static final int MESH_FLEET_SIZE = 8;
    private static final int LARGE_FLEET_SIZE = 66;
    private static final String LIMITED_ENGINE = "engine-0";

    private static final Duration WINDOW = Duration.ofSeconds(4);
    private static final double ALLOWED_OVERAGE = 1.5;
    private static final int ALLOWED_SLACK = 5;

    private VirtualLoad load;

    private void start(int entries) {
        load = VirtualLoad.start(entries, ENGINES);
    }

    /** Starts under load and lets one engine name a limit after a second; returns the time at which it does. */
    private long startWithLimitedEngine(int entries, double perSecond) {
        start(entries);
        load.runTraffic(Duration.ofSeconds(1));
        load.setRateLimit(LIMITED_ENGINE, perSecond);
        return load.now();
    }

    // ---- Arrivals.

    private List<Long> requestTimesAt(String engine) {
        return timesAt(engine, load.arrivals);
    }

    /** Returns the times of requests and all other calls to the engine, in order. */
    private List<Long> callTimesAt(String engine) {
        return timesAt(engine, load.allCalls());
    }

    private static List<Long> timesAt(String engine, List<VirtualLoad.Arrival> arrivals) {
        return arrivals.stream()
                .filter(arrival -> arrival.engine().equals(engine))
                .map(VirtualLoad.Arrival::atNanos)
                .sorted()
                .toList();
    }

    private static int maxInWindow(List<Long> arrivals, long fromNanos) {
        List<Long> times = arrivals.stream().filter(at -> at >= fromNanos).toList();
        int max = 0;
        for (int first = 0; first < times.size(); first++) {
            int last = first;
            while (last < times.size() && times.get(last) - times.get(first) < WINDOW.toNanos()) {
                last++;
            }
            max = Math.max(max, last - first);
        }
        return max;
    }

    private static void assertWithin(double perSecond, List<Long> arrivals, long limitSetNanos) {
        double bound = perSecond * WINDOW.toSeconds() * ALLOWED_OVERAGE + ALLOWED_SLACK;
        int max = maxInWindow(arrivals, limitSetNanos + NOTICE_SPREAD_TIME.toNanos());
        assertTrue(max <= bound, max + " in " + WINDOW.toSeconds() + " s, bound " + bound);
    }

    private long otherCallsSince(long fromNanos) {
        return count(callTimesAt(LIMITED_ENGINE), fromNanos) - count(requestTimesAt(LIMITED_ENGINE), fromNanos);
    }

    private static long count(List<Long> times, long fromNanos) {
        return times.stream().filter(at -> at >= fromNanos).count();
    }

    /** Returns the entry that has sent the most requests to the limited engine since the given time. */
    private BenchNode busiestSince(long fromNanos) {
        return load.nodes.stream()
                .max(Comparator.comparingLong(node -> sentBy(node, fromNanos)))
                .orElseThrow();
    }

    private long sentBy(BenchNode node, long fromNanos) {
        return load.arrivals.stream()
                .filter(arrival -> arrival.from().equals(node.entry()))
                .filter(arrival -> arrival.engine().equals(LIMITED_ENGINE) && arrival.atNanos() >= fromNanos)
                .count();
    }

    @DataProvider
    public Object[][] sizesAndLimits() {
        return new Object[][] {
            {MESH_FLEET_SIZE, 1.4}, {MESH_FLEET_SIZE, 12}, {LARGE_FLEET_SIZE, 1.4}, {LARGE_FLEET_SIZE, 12}
        };
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{MESH_FLEET_SIZE}, {LARGE_FLEET_SIZE}};
    }

    // Each entry alone sends as much as the endpoint accepts from all together, or has no state about the limit.
    @Test(dataProvider = "sizesAndLimits")
    public void allEntriesTogetherKeepTheRateLimitOfAnEndpoint(int entries, double perSecond) {
        long limitSetNanos = startWithLimitedEngine(entries, perSecond);
        load.runTraffic(Duration.ofSeconds(9));
        assertWithin(perSecond, requestTimesAt(LIMITED_ENGINE), limitSetNanos);
    }

    // An engine that receives no requests serves no caller, and has no answer in which to end its limit.
    @Test(dataProvider = "sizesAndLimits")
    public void anEndpointWithARateLimitReceivesMostOfWhatItAccepts(int entries, double perSecond) {
        startWithLimitedEngine(entries, perSecond);
        load.runTraffic(Duration.ofSeconds(2));
        long from = load.now();
        load.runTraffic(Duration.ofSeconds(10));
        long received = load.count(LIMITED_ENGINE, from, load.now());
        assertTrue(received >= 0.6 * perSecond * 10, "received " + received + " in 10 s");
    }

    // The limit has ended; entries that didn't receive this from the engine itself must not exclude it for ever.
    @Test(dataProvider = "sizes")
    public void anEndpointWhoseRateLimitHasEndedIsUsedByAllAgain(int entries) {
        startWithLimitedEngine(entries, 1.4);
        load.runTraffic(Duration.ofSeconds(5));
        load.clearRateLimits();
        load.runTraffic(Duration.ofSeconds(4));
        long from = load.now();
        load.runTraffic(Duration.ofSeconds(2));
        long received = load.count(LIMITED_ENGINE, from, load.now());
        long otherEngineReceived = load.count("engine-2", from, load.now());
        assertTrue(
                received > otherEngineReceived / 2, received + " while another engine received " + otherEngineReceived);
    }

    // The entry that holds the share is killed; another one takes the share over, but the two never use it at once.
    @Test(dataProvider = "sizes")
    public void theShareOfAFailedEntryGoesToAnotherOne(int entries) {
        long limitSetNanos = startWithLimitedEngine(entries, 1.4);
        load.runTraffic(Duration.ofSeconds(4));
        long countFromNanos = load.now();
        load.runTraffic(Duration.ofSeconds(2));
        busiestSince(countFromNanos).kill();
        load.runTraffic(Duration.ofSeconds(5));
        long from = load.now();
        load.runTraffic(Duration.ofSeconds(5));
        assertWithin(1.4, requestTimesAt(LIMITED_ENGINE), limitSetNanos);
        long received = load.count(LIMITED_ENGINE, from, load.now());
        assertTrue(received >= 3, "received " + received + " in 5 s");
    }

    // The entry is suspended and another one takes its share over; when it resumes, its own state still assigns the
    // share to it for a moment.
    @Test(dataProvider = "sizes")
    public void anEntrySendsNoMoreThanItsShareAfterASuspension(int entries) {
        long limitSetNanos = startWithLimitedEngine(entries, 1.4);
        load.runTraffic(Duration.ofSeconds(3));
        long countFromNanos = load.now();
        load.runTraffic(Duration.ofSeconds(2));
        busiestSince(countFromNanos).pause(Duration.ofSeconds(5));
        load.runTraffic(Duration.ofSeconds(9));
        assertWithin(1.4, requestTimesAt(LIMITED_ENGINE), limitSetNanos);
    }

    // Each of these entries soon sees itself as the only one left, and the whole limit as its share.
    @Test(dataProvider = "sizes")
    public void entriesThatAreCutOffFromTheOthersKeepTheRateLimit(int entries) {
        long limitSetNanos = startWithLimitedEngine(entries, 1.4);
        load.runTraffic(Duration.ofSeconds(2));
        for (int index = 0; index < entries / 3; index++) {
            load.fleet.bench.cutFromAll(load.nodes.get(index));
        }
        load.runTraffic(Duration.ofSeconds(10));
        assertWithin(1.4, requestTimesAt(LIMITED_ENGINE), limitSetNanos);
    }

    // A newly started entry has no state about the other entries or the limit.
    @Test(dataProvider = "sizes")
    public void anEntryThatHasJustStartedLearnsOfRateLimits(int entries) {
        long limitSetNanos = startWithLimitedEngine(entries, 1.4);
        load.runTraffic(Duration.ofSeconds(3));
        load.restart(load.nodes.get(0));
        load.fleet.bench.runFor(Duration.ofMillis(500));
        load.runTraffic(Duration.ofSeconds(8));
        assertWithin(1.4, requestTimesAt(LIMITED_ENGINE), limitSetNanos);
    }

    // The first lead starts again and leads at once without state about the limit, while its followers have kept it.
    @Test
    public void aLeadThatHasStartedAgainLearnsOfRateLimitsFromItsFollowers() {
        long limitSetNanos = startWithLimitedEngine(LARGE_FLEET_SIZE, 1.4);
        load.runTraffic(Duration.ofSeconds(5));
        load.restart(load.node(load.fleet.leadsKnownTo(load.nodes.get(0)).get(0)));
        load.runTraffic(Duration.ofSeconds(6));
        assertWithin(1.4, requestTimesAt(LIMITED_ENGINE), limitSetNanos);
    }

    // Both leads of the domain fail, and each entry decides for itself until it follows the next ones.
    @Test
    public void entriesWithoutALeadKeepTheRateLimit() {
        long limitSetNanos = startWithLimitedEngine(LARGE_FLEET_SIZE, 1.4);
        load.runTraffic(Duration.ofSeconds(3));
        load.fleet
                .leadsKnownTo(load.nodes.get(0))
                .forEach(lead -> load.node(lead).kill());
        load.runTraffic(Duration.ofSeconds(6));
        assertWithin(1.4, requestTimesAt(LIMITED_ENGINE), limitSetNanos);
    }

    // The engine ends and starts again under its id. The limit belongs to its earlier start.
    @Test
    public void aRateLimitEndsWhenTheEndpointRestarts() {
        startWithLimitedEngine(MESH_FLEET_SIZE, 1.4);
        load.runTraffic(Duration.ofSeconds(3));
        load.clearRateLimits();
        load.fleet.restartEngine(LIMITED_ENGINE, 1);
        load.fleet.bench.runFor(Duration.ofMillis(300));
        long from = load.now();
        load.runTraffic(Duration.ofSeconds(1));
        long received = load.count(LIMITED_ENGINE, from, load.now());
        assertTrue(received > 10, "received " + received);
    }

    // The engine names a lower limit from one answer to the next.
    @Test(dataProvider = "sizes")
    public void aLowerRateLimitIsKeptOnceItIsNamed(int entries) {
        startWithLimitedEngine(entries, 12);
        load.runTraffic(Duration.ofSeconds(4));
        load.setRateLimit(LIMITED_ENGINE, 1.4);
        long limitSetNanos = load.now();
        load.runTraffic(Duration.ofSeconds(6));
        assertWithin(1.4, requestTimesAt(LIMITED_ENGINE), limitSetNanos);
    }

    // A quarter of the pool names limits at once, and the other engines have to carry the load.
    @Test(dataProvider = "sizes")
    public void aQuarterOfThePoolMayNameRateLimitsAtOnce(int entries) {
        start(entries);
        load.runTraffic(Duration.ofSeconds(1));
        for (int index = 0; index < ENGINES / 4; index++) {
            load.setRateLimit("engine-" + index, 1.4 + index);
        }
        long limitSetNanos = load.now();
        load.runTraffic(Duration.ofSeconds(8));
        for (int index = 0; index < ENGINES / 4; index++) {
            assertWithin(1.4 + index, requestTimesAt("engine-" + index), limitSetNanos);
        }
    }

    // The queries for cache events alone exceed what the engine accepts.
    @Test(dataProvider = "sizesAndLimits")
    public void queriesForCacheEventsCountTowardsTheRateLimitOfAnEngine(int entries, double perSecond) {
        long limitSetNanos = startWithLimitedEngine(entries, perSecond);
        load.runTraffic(Duration.ofSeconds(9));
        assertWithin(perSecond, callTimesAt(LIMITED_ENGINE), limitSetNanos);
    }

    // The holder of the duty queries the state of a loading engine many times a second.
    @Test(dataProvider = "sizes")
    public void newWeightsReachAnEngineWithARateLimitInTimeAndWithinIt(int entries) {
        long limitSetNanos = startWithLimitedEngine(entries, 1.4);
        load.runTraffic(Duration.ofSeconds(4));
        load.fleet.nameWeights(2);
        load.runTraffic(VirtualFleet.WEIGHT_CHANGE_LIMIT);
        assertTrue(load.fleet.allEnginesRun(2), "weights: " + load.fleet.weights);
        assertWithin(1.4, callTimesAt(LIMITED_ENGINE), limitSetNanos);
    }

    // The cache events of the engine were not followed for a while; its cache contents have to be learned again.
    @Test
    public void cacheEventsAreFollowedAgainAfterTheRateLimitHasEnded() {
        startWithLimitedEngine(MESH_FLEET_SIZE, 1.4);
        load.runTraffic(Duration.ofSeconds(5));
        load.clearRateLimits();
        load.runTraffic(Duration.ofSeconds(4));
        long from = load.now();
        load.fleet.bench.runFor(Duration.ofSeconds(2));
        assertTrue(otherCallsSince(from) > 4, "queries for cache events");
    }

    // ---- All endpoints of a service have limits.

    private void setAllRateLimits(double perSecond) {
        for (int index = 0; index < ENGINES; index++) {
            load.setRateLimit("engine-" + index, perSecond);
        }
    }

    private long placedSince(long fromNanos) {
        return load.arrivals.stream()
                .filter(arrival -> arrival.atNanos() >= fromNanos && arrival.atNanos() < load.now())
                .count();
    }

    // There are twenty times as many requests as can be served; those beyond the limits must not wait in vain.
    @Test(dataProvider = "sizes")
    public void requestsThatRateLimitsDoNotAllowAreRefusedAtOnce(int entries) {
        start(entries);
        load.runTraffic(Duration.ofSeconds(1));
        setAllRateLimits(1.4);
        load.runTraffic(Duration.ofSeconds(4));
        load.refused.clear();
        long from = load.now();
        load.runTraffic(Duration.ofSeconds(10));
        assertTrue(placedSince(from) >= 0.6 * ENGINES * 1.4 * 10, "placed " + placedSince(from));
        long late = load.refused.stream()
                .filter(each -> each.waitedMillis() > IMMEDIATE_MILLIS)
                .count();
        assertTrue(load.refused.size() > 2_000, "refused " + load.refused.size());
        assertTrue(late < load.refused.size() / 10, late + " of " + load.refused.size() + " refused late");
    }

    // The load is a third of what the limits allow. An entry without a share must not refuse what another one could
    // serve.
    @Test(dataProvider = "sizes")
    public void fewRequestsAreServedThoughAllEndpointsHaveRateLimits(int entries) {
        start(entries);
        load.runTraffic(Duration.ofSeconds(1));
        setAllRateLimits(1.4);
        load.runTraffic(Duration.ofSeconds(4));
        load.fleet.bench.runFor(Duration.ofSeconds(2));
        load.refused.clear();
        long from = load.now();
        load.setRequestInterval(Duration.ofMillis(200));
        load.runTraffic(Duration.ofSeconds(20));
        long placed = placedSince(from);
        assertTrue(placed >= 95, "placed " + placed + ", refused " + load.refused.size());
    }
}
