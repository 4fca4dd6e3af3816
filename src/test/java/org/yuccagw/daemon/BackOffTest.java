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

/** Engines that turn requests of an entry away and say for how long they want none of it. */
public class BackOffTest {
    private static final Duration HEARD_BY_THEN = Duration.ofMillis(500);
    private static final Duration BACK_OFF = Duration.ofSeconds(3);
    private static final long ALLOWED = 2;
    private static final long AT_ONCE_MILLIS = 50;
    private static final int ENGINES = 12;
    private static final int MESH = 8;
    private static final int LARGE = 66;
    private static final String BUSY = "engine-0";

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{MESH}, {20}, {LARGE}, {95}};
    }

    @DataProvider
    public Object[][] sizesAndTimes() {
        return new Object[][] {{MESH, 3_000}, {MESH, 900}, {MESH, 12_000}, {LARGE, 3_000}, {LARGE, 12_000}};
    }

    private static VirtualLoad startBusy(int entries, Duration backOff) {
        VirtualLoad load = VirtualLoad.start(entries, ENGINES);
        load.play(Duration.ofSeconds(1));
        load.turnAway(BUSY, backOff);
        return load;
    }

    private static void assertSpared(VirtualLoad load, List<VirtualLoad.Arrival> sent) {
        assertTrue(!load.turnedAway.isEmpty(), "something was turned away");
        long most = load.mostWhileTurnedAway(HEARD_BY_THEN, sent);
        assertTrue(most <= ALLOWED, most + " sent by one entry, allowed " + ALLOWED);
    }

    // Each request that arrives is turned away, and the next one is sent there all the same.
    @Test(dataProvider = "sizesAndTimes")
    public void anEndpointThatTurnsAnEntryAwayGetsNoRequestsFromItForAsLongAsItSays(int entries, int millis) {
        VirtualLoad load = startBusy(entries, Duration.ofMillis(millis));
        load.play(Duration.ofSeconds(15));
        assertSpared(load, load.arrivals);
    }

    // Calls for its cache events alone are more than it wants.
    @Test(dataProvider = "sizesAndTimes")
    public void callsForCacheEventsStopToo(int entries, int millis) {
        VirtualLoad load = startBusy(entries, Duration.ofMillis(millis));
        load.play(Duration.ofSeconds(15));
        assertSpared(load, load.allCalls());
    }

    /** Two engines, both of which turn every entry away after a second. */
    private static VirtualLoad startAllBusy(int entries, Duration backOff) {
        VirtualLoad load = VirtualLoad.start(entries, 2);
        load.play(Duration.ofSeconds(1));
        load.turnAway(BUSY, backOff);
        load.turnAway("engine-1", backOff);
        return load;
    }

    // The holder of the duty asks an engine that loads for its state many times a second.
    @Test(dataProvider = "sizes")
    public void newWeightsReachEnginesThatTurnAwayInTimeAndWithFewCalls(int entries) {
        VirtualLoad load = startAllBusy(entries, BACK_OFF);
        load.play(Duration.ofSeconds(4));
        load.fleet.nameWeights(2);
        load.play(VirtualFleet.OLD_WEIGHTS_ALLOWED);
        assertTrue(load.fleet.allRun(2), "weights: " + load.fleet.weights);
        assertSpared(load, load.allCalls());
    }

    // Operators name weights three times within one time; each naming alone costs a question and an order.
    @Test(dataProvider = "sizes")
    public void severalNamingsOfWeightsCostAnEngineThatTurnsAwayNoMoreCalls(int entries) {
        VirtualLoad load = startAllBusy(entries, Duration.ofSeconds(12));
        load.play(Duration.ofSeconds(2));
        for (int version = 2; version <= 4; version++) {
            load.fleet.nameWeights(version);
            load.play(Duration.ofSeconds(3));
        }
        assertSpared(load, load.allCalls());
    }

    // It may not be called for a minute, and would keep the turn to load all that time.
    @Test(dataProvider = "sizes")
    public void newWeightsReachTheOthersWhileAnEngineWantsNoCalls(int entries) {
        VirtualLoad load = VirtualLoad.start(entries, 4);
        load.fleet.nameWeights(2);
        load.play(VirtualFleet.OLD_WEIGHTS_ALLOWED);
        load.tellAll(BUSY, Duration.ofSeconds(60));
        for (int version = 3; version <= 5; version++) {
            load.fleet.nameWeights(version);
            load.play(VirtualFleet.OLD_WEIGHTS_ALLOWED);
        }
        for (int index = 1; index < 4; index++) {
            assertEquals(load.fleet.weights.get(EndpointId.of("engine-" + index)), Long.valueOf(5));
        }
    }

    // Their state can't be had, and is asked for again and again.
    @Test(dataProvider = "sizes")
    public void enginesThatTurnAwayAndDoNotTellTheirStateAreNotAskedForItAgain(int entries) {
        VirtualLoad load = startAllBusy(entries, Duration.ofSeconds(12));
        load.fleet.answerNoStates();
        load.play(Duration.ofSeconds(2));
        load.fleet.nameWeights(2);
        load.play(Duration.ofSeconds(10));
        assertSpared(load, load.allCalls());
    }

    // A request on its way is turned away too, with a shorter time than the one before.
    @Test
    public void aShorterTimeDoesNotEndALongerOne() {
        VirtualLoad load = startBusy(MESH, Duration.ofSeconds(6));
        load.play(Duration.ofMillis(20));
        load.turnAway(BUSY, Duration.ofMillis(700));
        load.play(Duration.ofSeconds(6));
        assertSpared(load, load.arrivals);
    }

    // Its first lead is killed; whoever decides next knows nothing of what the entry was told.
    @Test
    public void anEntryWhoseLeadDiesGoesOnSparingTheEndpoint() {
        VirtualLoad load = startBusy(LARGE, Duration.ofSeconds(6));
        load.play(Duration.ofSeconds(2));
        load.fleet
                .leadsKnownTo(load.nodes.get(0))
                .forEach(lead -> load.node(lead).kill());
        load.play(Duration.ofSeconds(6));
        assertSpared(load, load.arrivals);
    }

    // It had been cut off from the others when it was turned away.
    @Test
    public void anEntryThatIsCutOffSparesTheEndpoint() {
        VirtualLoad load = startBusy(LARGE, BACK_OFF);
        load.nodes.subList(0, 10).forEach(load.fleet.bench::cutFromAll);
        load.play(Duration.ofSeconds(8));
        assertSpared(load, load.arrivals);
    }

    @Test
    public void theNextStartOfTheEndpointIsUsedAtOnce() {
        VirtualLoad load = startBusy(MESH, Duration.ofSeconds(60));
        load.play(Duration.ofSeconds(2));
        load.restartEngine(BUSY);
        load.fleet.bench.runFor(Duration.ofMillis(300));
        long from = load.now();
        load.play(Duration.ofSeconds(1));
        long got = load.count(BUSY, from, load.now());
        assertTrue(got > 10, "got " + got);
    }

    // One entry alone sends too much; the engine has room for all others.
    @Test(dataProvider = "sizes")
    public void anEndpointThatTurnsOneEntryAwayIsOfUseToTheOthers(int entries) {
        VirtualLoad load = startBusy(entries, BACK_OFF);
        EntryId one = load.nodes.get(2).entry();
        load.turnAwayOnly(one);
        load.play(Duration.ofSeconds(4));
        long from = load.now();
        load.play(Duration.ofSeconds(6));
        assertSpared(load, load.arrivals);
        long got = load.count(BUSY, from, load.now());
        long usual = load.count("engine-2", from, load.now());
        assertTrue(got > usual / 4, got + " where another engine gets " + usual);
        assertEquals(load.refused.size(), 0);
    }

    // The time is over for many requests that waited for it: one of them has to find out first.
    @Test(dataProvider = "sizes")
    public void whenTheTimeIsOverFewRequestsArriveAtOnce(int entries) {
        VirtualLoad load = startAllBusy(entries, BACK_OFF);
        load.play(Duration.ofSeconds(7));
        long most = mostFromOneWithin(load, BUSY, Duration.ofMillis(400));
        assertTrue(most <= ALLOWED, most + " of one entry within 400 ms");
    }

    private static long mostFromOneWithin(VirtualLoad load, String engine, Duration span) {
        long begin = load.turnedAway.get(0).atNanos() + HEARD_BY_THEN.toNanos();
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
    public void anEndpointThatTakesRequestsAgainIsUsedLikeTheOthersSoon(int entries) {
        VirtualLoad load = startBusy(entries, BACK_OFF);
        load.play(Duration.ofSeconds(5));
        load.takeAgain(BUSY);
        load.play(BACK_OFF.plusMillis(500));
        long from = load.now();
        load.play(Duration.ofSeconds(2));
        long got = load.count(BUSY, from, load.now());
        long usual = load.count("engine-2", from, load.now());
        assertTrue(got > usual / 2, got + " where another engine gets " + usual);
    }

    // A third of the engines turns away; each repeat spends from a budget, and without one callers are refused.
    @Test(dataProvider = "sizes")
    public void callersAreServedByTheRestWhileAThirdTurnsAway(int entries) {
        VirtualLoad load = VirtualLoad.start(entries, ENGINES);
        load.play(Duration.ofSeconds(1));
        for (int index = 0; index < ENGINES / 3; index++) {
            load.turnAway("engine-" + index, BACK_OFF);
        }
        load.play(Duration.ofSeconds(12));
        assertEquals(load.refused.size(), 0, "refused; repeats " + load.repeats + ", served " + load.served);
    }

    // Nobody can be served for seconds: to hold callers for their whole patience would help none of them.
    @Test(dataProvider = "sizes")
    public void whenAllEndpointsTurnAwayCallersAreRefusedAtOnceUntilTheFirstIsFree(int entries) {
        VirtualLoad load = VirtualLoad.start(entries, ENGINES);
        load.play(Duration.ofSeconds(1));
        for (int index = 0; index < ENGINES; index++) {
            load.turnAway("engine-" + index, Duration.ofSeconds(30));
        }
        load.play(Duration.ofSeconds(6));
        load.refused.clear();
        load.play(Duration.ofSeconds(6));
        assertTrue(load.refused.size() > 1_500, "refused " + load.refused.size());
        long late = load.refused.stream()
                .filter(each -> each.waitedMillis() > AT_ONCE_MILLIS)
                .count();
        long early = load.refused.stream()
                .filter(each -> each.retryAfter().orElse(Duration.ZERO).toSeconds() < 10)
                .count();
        assertEquals(late, 0, "refused late");
        assertEquals(early, 0, "asked to come back before the first is free");
    }

    @Test
    public void anEntryThatStandsStillKeepsToTheTimeWhenItWakes() {
        VirtualLoad load = startBusy(MESH, Duration.ofSeconds(8));
        load.play(Duration.ofSeconds(2));
        BenchNode slept = load.nodes.get(0);
        slept.pause(Duration.ofSeconds(2));
        load.play(Duration.ofSeconds(5));
        assertSpared(load, load.arrivals);
    }
}
