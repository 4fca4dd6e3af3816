package org.yuccagw.daemon;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.bench.control.BenchNode;

/**
 * Engines that name a rate limit in their answers: what arrives there from all entries together stays within it, from
 * half a second after it was first named on.
 */
public class RateLimitTest {
    private static final Duration HEARD_BY_THEN = Duration.ofMillis(500);
    private static final long AT_ONCE_MILLIS = 50;
    private static final int ENGINES = 12;
    private static final int MESH = 8;
    private static final int LARGE = 66;
    private static final String LIMITED = "engine-0";

    private static final Duration WINDOW = Duration.ofSeconds(4);
    private static final double OVERAGE = 1.5;
    private static final int SLACK = 5;

    private VirtualLoad load;

    private void start(int entries) {
        load = VirtualLoad.start(entries, ENGINES);
    }

    /** Starts under load, and has one engine name a limit after a second; returns when. */
    private long startLimited(int entries, double perSecond) {
        start(entries);
        load.play(Duration.ofSeconds(1));
        load.limit(LIMITED, perSecond);
        return load.now();
    }

    // ---- What arrived.

    private List<Long> requestsOn(String engine) {
        return timesOn(engine, load.arrivals);
    }

    /** Requests and all other calls to the engine, in order. */
    private List<Long> arrivalsOn(String engine) {
        return timesOn(engine, load.allCalls());
    }

    private static List<Long> timesOn(String engine, List<VirtualLoad.Arrival> arrivals) {
        return arrivals.stream()
                .filter(arrival -> arrival.engine().equals(engine))
                .map(VirtualLoad.Arrival::atNanos)
                .sorted()
                .toList();
    }

    private static int most(List<Long> arrivals, long fromNanos) {
        List<Long> times = arrivals.stream().filter(at -> at >= fromNanos).toList();
        int most = 0;
        for (int first = 0; first < times.size(); first++) {
            int last = first;
            while (last < times.size() && times.get(last) - times.get(first) < WINDOW.toNanos()) {
                last++;
            }
            most = Math.max(most, last - first);
        }
        return most;
    }

    private static void assertWithin(double perSecond, List<Long> arrivals, long namedNanos) {
        double bound = perSecond * WINDOW.toSeconds() * OVERAGE + SLACK;
        int most = most(arrivals, namedNanos + HEARD_BY_THEN.toNanos());
        assertTrue(most <= bound, most + " in " + WINDOW.toSeconds() + " s, bound " + bound);
    }

    private long callsBesideRequests(long fromNanos) {
        return count(arrivalsOn(LIMITED), fromNanos) - count(requestsOn(LIMITED), fromNanos);
    }

    private static long count(List<Long> times, long fromNanos) {
        return times.stream().filter(at -> at >= fromNanos).count();
    }

    /** The entry that sent most to the limited engine since then. */
    private BenchNode busiestSince(long fromNanos) {
        return load.nodes.stream()
                .max(Comparator.comparingLong(node -> sentBy(node, fromNanos)))
                .orElseThrow();
    }

    private long sentBy(BenchNode node, long fromNanos) {
        return load.arrivals.stream()
                .filter(arrival -> arrival.from().equals(node.entry()))
                .filter(arrival -> arrival.engine().equals(LIMITED) && arrival.atNanos() >= fromNanos)
                .count();
    }

    @DataProvider
    public Object[][] sizesAndLimits() {
        return new Object[][] {{MESH, 1.4}, {MESH, 12}, {LARGE, 1.4}, {LARGE, 12}};
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{MESH}, {LARGE}};
    }

    // Every entry sends what the endpoint takes from all together, or knows of no limit at all.
    @Test(dataProvider = "sizesAndLimits")
    public void allEntriesTogetherKeepTheRateLimitThatAnEndpointNames(int entries, double perSecond) {
        long named = startLimited(entries, perSecond);
        load.play(Duration.ofSeconds(9));
        assertWithin(perSecond, requestsOn(LIMITED), named);
    }

    // An engine that nobody sends to helps nobody, and can't say that its need is over.
    @Test(dataProvider = "sizesAndLimits")
    public void anEndpointWithARateLimitGetsMostOfWhatItTakes(int entries, double perSecond) {
        startLimited(entries, perSecond);
        load.play(Duration.ofSeconds(2));
        long from = load.now();
        load.play(Duration.ofSeconds(10));
        long got = load.count(LIMITED, from, load.now());
        assertTrue(got >= 0.6 * perSecond * 10, "got " + got + " in 10 s");
    }

    // The need is over; the entries that didn't hear it themselves must not spare the engine for ever.
    @Test(dataProvider = "sizes")
    public void anEndpointWhoseRateLimitHasEndedIsUsedByAllAgain(int entries) {
        startLimited(entries, 1.4);
        load.play(Duration.ofSeconds(5));
        load.endLimits();
        load.play(Duration.ofSeconds(4));
        long from = load.now();
        load.play(Duration.ofSeconds(2));
        long got = load.count(LIMITED, from, load.now());
        long usual = load.count("engine-2", from, load.now());
        assertTrue(got > usual / 2, got + " where another engine gets " + usual);
    }

    // Whoever had the part dies; another one takes it over, but not both at once.
    @Test(dataProvider = "sizes")
    public void thePartOfAnEntryThatDiesGoesToAnotherOne(int entries) {
        long named = startLimited(entries, 1.4);
        load.play(Duration.ofSeconds(4));
        long last = load.now();
        load.play(Duration.ofSeconds(2));
        busiestSince(last).kill();
        load.play(Duration.ofSeconds(5));
        long from = load.now();
        load.play(Duration.ofSeconds(5));
        assertWithin(1.4, requestsOn(LIMITED), named);
        long got = load.count(LIMITED, from, load.now());
        assertTrue(got >= 3, "got " + got + " in 5 s");
    }

    // It stands still, another one takes over, and it wakes and believes for a moment that the part is still its own.
    @Test(dataProvider = "sizes")
    public void anEntryThatWakesAfterItsPartWentToAnotherOneSendsNoMoreThanItsPart(int entries) {
        long named = startLimited(entries, 1.4);
        load.play(Duration.ofSeconds(3));
        long last = load.now();
        load.play(Duration.ofSeconds(2));
        busiestSince(last).pause(Duration.ofSeconds(5));
        load.play(Duration.ofSeconds(9));
        assertWithin(1.4, requestsOn(LIMITED), named);
    }

    // Each of them soon believes that it is the last one, and that everything is its part.
    @Test(dataProvider = "sizes")
    public void entriesThatAreCutOffFromTheOthersSpareAnEndpointWithARateLimit(int entries) {
        long named = startLimited(entries, 1.4);
        load.play(Duration.ofSeconds(2));
        for (int index = 0; index < entries / 3; index++) {
            load.fleet.bench.cutFromAll(load.nodes.get(index));
        }
        load.play(Duration.ofSeconds(10));
        assertWithin(1.4, requestsOn(LIMITED), named);
    }

    // It knows neither the others nor the limit.
    @Test(dataProvider = "sizes")
    public void anEntryThatHasJustStartedLearnsOfRateLimits(int entries) {
        long named = startLimited(entries, 1.4);
        load.play(Duration.ofSeconds(3));
        load.restart(load.nodes.get(0));
        load.fleet.bench.runFor(Duration.ofMillis(500));
        load.play(Duration.ofSeconds(8));
        assertWithin(1.4, requestsOn(LIMITED), named);
    }

    // The first lead starts again and leads at once, knowing of no limit, while its followers know it all along.
    @Test
    public void aLeadThatHasStartedAgainLearnsOfRateLimitsFromItsFollowers() {
        long named = startLimited(LARGE, 1.4);
        load.play(Duration.ofSeconds(5));
        load.restart(load.node(load.fleet.leadsKnownTo(load.nodes.get(0)).get(0)));
        load.play(Duration.ofSeconds(6));
        assertWithin(1.4, requestsOn(LIMITED), named);
    }

    // Both leads of the domain die, and each entry decides for itself until it has turned to the next ones.
    @Test
    public void entriesWithoutALeadSpareAnEndpointWithARateLimit() {
        long named = startLimited(LARGE, 1.4);
        load.play(Duration.ofSeconds(3));
        load.fleet
                .leadsKnownTo(load.nodes.get(0))
                .forEach(lead -> load.node(lead).kill());
        load.play(Duration.ofSeconds(6));
        assertWithin(1.4, requestsOn(LIMITED), named);
    }

    // The engine ends and starts again under its id. The limit was that of its earlier start.
    @Test
    public void aRateLimitEndsWithTheStartOfTheEndpointThatNamedIt() {
        startLimited(MESH, 1.4);
        load.play(Duration.ofSeconds(3));
        load.endLimits();
        load.fleet.restartEngine(LIMITED, 1);
        load.fleet.bench.runFor(Duration.ofMillis(300));
        long from = load.now();
        load.play(Duration.ofSeconds(1));
        long got = load.count(LIMITED, from, load.now());
        assertTrue(got > 10, "got " + got);
    }

    // From one answer to the next it says something else.
    @Test(dataProvider = "sizes")
    public void aRateLimitThatSinksIsKeptFromThenOn(int entries) {
        startLimited(entries, 12);
        load.play(Duration.ofSeconds(4));
        load.limit(LIMITED, 1.4);
        long named = load.now();
        load.play(Duration.ofSeconds(6));
        assertWithin(1.4, requestsOn(LIMITED), named);
    }

    // A quarter of the pool is in need at once, and the rest is there to carry the load.
    @Test(dataProvider = "sizes")
    public void aQuarterOfThePoolMayNameRateLimitsAtOnce(int entries) {
        start(entries);
        load.play(Duration.ofSeconds(1));
        for (int index = 0; index < ENGINES / 4; index++) {
            load.limit("engine-" + index, 1.4 + index);
        }
        long named = load.now();
        load.play(Duration.ofSeconds(8));
        for (int index = 0; index < ENGINES / 4; index++) {
            assertWithin(1.4 + index, requestsOn("engine-" + index), named);
        }
    }

    // Calls for its cache events alone are more than it takes.
    @Test(dataProvider = "sizesAndLimits")
    public void callsForCacheEventsCountTowardsTheRateLimitOfAnEngine(int entries, double perSecond) {
        long named = startLimited(entries, perSecond);
        load.play(Duration.ofSeconds(9));
        assertWithin(perSecond, arrivalsOn(LIMITED), named);
    }

    // The holder of the duty asks an engine that loads for its state many times a second.
    @Test(dataProvider = "sizes")
    public void newWeightsReachAnEngineWithARateLimitInTimeAndWithinIt(int entries) {
        long named = startLimited(entries, 1.4);
        load.play(Duration.ofSeconds(4));
        load.fleet.nameWeights(2);
        load.play(VirtualFleet.OLD_WEIGHTS_ALLOWED);
        assertTrue(load.fleet.allRun(2), "weights: " + load.fleet.weights);
        assertWithin(1.4, arrivalsOn(LIMITED), named);
    }

    // Its events were not followed for a while; what it holds has to be known again.
    @Test
    public void cacheEventsAreFollowedAgainAfterTheRateLimitHasEnded() {
        startLimited(MESH, 1.4);
        load.play(Duration.ofSeconds(5));
        load.endLimits();
        load.play(Duration.ofSeconds(4));
        long from = load.now();
        load.fleet.bench.runFor(Duration.ofSeconds(2));
        assertTrue(callsBesideRequests(from) > 4, "calls for events");
    }

    // ---- All endpoints of a service have limits.

    private void limitAll(double perSecond) {
        for (int index = 0; index < ENGINES; index++) {
            load.limit("engine-" + index, perSecond);
        }
    }

    private long placedInAll(long fromNanos) {
        return load.arrivals.stream()
                .filter(arrival -> arrival.atNanos() >= fromNanos && arrival.atNanos() < load.now())
                .count();
    }

    // Twenty times as many callers as can be served: the rest must not wait for what it can't get.
    @Test(dataProvider = "sizes")
    public void whatCannotBeServedWithinRateLimitsIsRefusedAtOnce(int entries) {
        start(entries);
        load.play(Duration.ofSeconds(1));
        limitAll(1.4);
        load.play(Duration.ofSeconds(4));
        load.refused.clear();
        long from = load.now();
        load.play(Duration.ofSeconds(10));
        assertTrue(placedInAll(from) >= 0.6 * ENGINES * 1.4 * 10, "placed " + placedInAll(from));
        long late = load.refused.stream()
                .filter(each -> each.waitedMillis() > AT_ONCE_MILLIS)
                .count();
        assertTrue(load.refused.size() > 2_000, "refused " + load.refused.size());
        assertTrue(late < load.refused.size() / 10, late + " of " + load.refused.size() + " refused late");
    }

    // A third of what the limits allow. An entry without a part must not refuse what another one could serve.
    @Test(dataProvider = "sizes")
    public void fewRequestsAreServedThoughAllEndpointsHaveRateLimits(int entries) {
        start(entries);
        load.play(Duration.ofSeconds(1));
        limitAll(1.4);
        load.play(Duration.ofSeconds(4));
        load.fleet.bench.runFor(Duration.ofSeconds(2));
        load.refused.clear();
        long from = load.now();
        load.callEvery(Duration.ofMillis(200));
        load.play(Duration.ofSeconds(20));
        long placed = placedInAll(from);
        assertTrue(placed >= 95, "placed " + placed + ", refused " + load.refused.size());
    }
}
