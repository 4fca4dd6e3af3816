package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.daemon.PausingEndpoint.Position;
import org.yuccagw.daemon.VirtualCaller.Outcome;

/**
 * Endpoints that pause and continue, that pause and end, or whose connections fall silent, behind a whole fleet of
 * entries. A pause is no failure: an answer stays with its endpoint unless another one takes its place.
 */
public class SilentEndpointsTest {
    private static final int SMALL = 8;
    private static final int MEDIUM = 27;
    private static final int LARGE = 71;
    private static final int LARGEST = 95;

    private static final int ENDPOINTS = 6;
    private static final int REQUESTS = 150;
    private static final Duration INTERVAL = Duration.ofMillis(10);

    /** After this time requests are at every position of their answers. */
    private static final Duration BEFORE_PAUSE = Duration.ofMillis(1_200);

    private static final Duration BETWEEN_PAUSES = Duration.ofMillis(350);

    /** Six prompts of this size fill the memory of an engine. */
    private static final int LARGE_ANSWER_TOKENS = 7_000;

    /** The endpoints that pause. */
    private enum Share {
        ALL,
        THIRD,
        ONE;

        private List<PausingEndpoint> of(List<PausingEndpoint> endpoints) {
            return IntStream.range(0, endpoints.size())
                    .filter(index -> this == ALL || (this == THIRD && index % 3 == 0) || index == 0)
                    .mapToObj(endpoints::get)
                    .toList();
        }
    }

    private static void pause(VirtualCallers callers, Share share, int millis, int times) {
        Duration pause = Duration.ofMillis(millis);
        for (int index = 0; index < times; index++) {
            share.of(callers.engines).forEach(endpoint -> endpoint.suspend(pause));
            share.of(callers.plain).forEach(endpoint -> endpoint.suspend(pause));
            callers.runFor(pause.plus(BETWEEN_PAUSES));
        }
    }

    private static void assertNoPromiseIsBroken(VirtualCallers callers) {
        List<String> violations = callers.violations();
        assertTrue(
                violations.isEmpty(),
                violations.size() + " broken promises to " + callers.callers.size() + " callers, first: "
                        + (violations.isEmpty() ? "" : violations.get(0)));
        assertTrue(callers.count(Outcome.COMPLETE) > 0);
    }

    private static void assertDelayedEverywhere(VirtualCallers callers) {
        for (Position position : Position.values()) {
            assertTrue(callers.delayedAt(position) > 0, "no pause " + position);
        }
    }

    @DataProvider
    public Object[][] pauses() {
        return new Object[][] {
            {SMALL, Share.ALL, 300, 1, 1},
            {SMALL, Share.ALL, 700, 1, 2},
            {SMALL, Share.ALL, 1_300, 1, 3},
            {SMALL, Share.ALL, 1_900, 1, 4},
            {SMALL, Share.ALL, 2_500, 1, 5},
            {SMALL, Share.ALL, 700, 3, 6},
            {SMALL, Share.ALL, 1_300, 3, 7},
            {SMALL, Share.THIRD, 1_300, 1, 8},
            {SMALL, Share.THIRD, 1_300, 3, 9},
            {SMALL, Share.ONE, 1_900, 1, 10},
            {MEDIUM, Share.ALL, 1_300, 1, 11},
            {MEDIUM, Share.THIRD, 700, 3, 12},
            {LARGE, Share.ALL, 1_300, 1, 13},
            {LARGEST, Share.THIRD, 1_300, 3, 14}
        };
    }

    // A pause was taken for a failure: the answer was given up before another endpoint was found, and then cut.
    @Test(dataProvider = "pauses")
    public void answersGoOnAfterAPauseOfTheirEndpoints(int entries, Share share, int millis, int times, long seed) {
        VirtualCallers callers = VirtualCallers.start(entries, ENDPOINTS, seed);
        callers.send(VirtualCallers.ALL_ROUTES, REQUESTS, INTERVAL);
        callers.runFor(BEFORE_PAUSE);
        pause(callers, share, millis, times);
        callers.runToEnd();
        assertNoPromiseIsBroken(callers);
        if (share == Share.ALL) {
            assertDelayedEverywhere(callers);
        }
    }

    @DataProvider
    public Object[][] pausesWithoutRetries() {
        return new Object[][] {
            {SMALL, Share.ALL, 700, 1, 21},
            {SMALL, Share.ALL, 1_900, 1, 22},
            {SMALL, Share.THIRD, 1_300, 3, 23},
            {SMALL, Share.ONE, 2_500, 1, 24},
            {MEDIUM, Share.THIRD, 1_300, 1, 25},
            {LARGE, Share.ALL, 1_300, 1, 26}
        };
    }

    // No entry may send a request to a second endpoint, since the retry budget is spent.
    @Test(dataProvider = "pausesWithoutRetries")
    public void answersGoOnAfterAPauseThoughTheRetryBudgetIsSpent(
            int entries, Share share, int millis, int times, long seed) {
        VirtualCallers callers = VirtualCallers.start(entries, ENDPOINTS, seed);
        callers.spendRetryBudgets(
                BEFORE_PAUSE.plus(Duration.ofMillis((long) millis * times)).plus(BETWEEN_PAUSES.multipliedBy(times)));
        callers.send(VirtualCallers.ALL_ROUTES, REQUESTS, INTERVAL);
        callers.runFor(BEFORE_PAUSE);
        pause(callers, share, millis, times);
        callers.runToEnd();
        assertNoPromiseIsBroken(callers);
    }

    @DataProvider
    public Object[][] pausesWithoutCapacity() {
        return new Object[][] {
            {SMALL, Share.ALL, 1_300, 1, 31},
            {SMALL, Share.THIRD, 1_300, 3, 32},
            {SMALL, Share.ONE, 1_900, 1, 33},
            {MEDIUM, Share.THIRD, 1_900, 1, 34},
            {LARGE, Share.ONE, 1_300, 1, 35}
        };
    }

    // The engines are full, so that a request for a second placement waits and is refused.
    @Test(dataProvider = "pausesWithoutCapacity")
    public void answersGoOnAfterAPauseThoughNoOtherEngineHasCapacity(
            int entries, Share share, int millis, int times, long seed) {
        VirtualCallers callers = VirtualCallers.start(entries, 3, seed);
        callers.setAnswerTokens(LARGE_ANSWER_TOKENS);
        callers.send(List.of(VirtualCallers.RESUMABLE, VirtualCallers.PATIENT), 30, Duration.ofMillis(5));
        callers.runFor(Duration.ofMillis(400));
        callers.send(List.of(VirtualCallers.RESUMABLE), REQUESTS, Duration.ofMillis(30));
        pause(callers, share, millis, times);
        callers.runToEnd();
        assertNoPromiseIsBroken(callers);
    }

    @DataProvider
    public Object[][] pausesOfASingleEndpoint() {
        return new Object[][] {{SMALL, 700, 1, 41}, {SMALL, 1_900, 1, 42}, {SMALL, 1_300, 3, 43}, {MEDIUM, 1_300, 1, 44}
        };
    }

    @Test(dataProvider = "pausesOfASingleEndpoint")
    public void answersGoOnAfterAPauseOfTheOnlyEndpoint(int entries, int millis, int times, long seed) {
        VirtualCallers callers = VirtualCallers.start(entries, 1, seed);
        callers.send(VirtualCallers.ALL_ROUTES, REQUESTS / 5, INTERVAL.multipliedBy(5));
        callers.runFor(BEFORE_PAUSE);
        pause(callers, Share.ALL, millis, times);
        callers.runToEnd();
        assertNoPromiseIsBroken(callers);
    }

    @DataProvider
    public Object[][] endsAfterAPause() {
        return new Object[][] {
            {SMALL, 300, 51}, {SMALL, 650, 52}, {SMALL, 1_250, 53}, {SMALL, 1_900, 54}, {MEDIUM, 1_250, 55}
        };
    }

    @Test(dataProvider = "endsAfterAPause")
    public void anEndpointThatPausesAndThenEndsCutsNoAnswerOfAnother(int entries, int millis, long seed) {
        VirtualCallers callers = VirtualCallers.start(entries, ENDPOINTS, seed);
        callers.send(VirtualCallers.ALL_ROUTES, REQUESTS, INTERVAL);
        callers.runFor(BEFORE_PAUSE);
        callers.engines.get(0).suspend(Duration.ofSeconds(10));
        callers.plain.get(0).suspend(Duration.ofSeconds(10));
        callers.runFor(Duration.ofMillis(millis));
        callers.engines.get(0).kill();
        callers.plain.get(0).kill();
        callers.runToEnd();
        assertNoPromiseIsBroken(callers);
    }

    @DataProvider
    public Object[][] silentConnections() {
        return new Object[][] {
            {SMALL, -1, 61},
            {SMALL, 0, 62},
            {SMALL, 9, 63},
            {SMALL, VirtualCallers.STREAM_EVENTS, 64},
            {MEDIUM, 9, 65},
            {LARGE, -1, 66}
        };
    }

    // The endpoint works on, and its answers to others arrive, while one connection never carries a byte again.
    @Test(dataProvider = "silentConnections")
    public void aConnectionThatIsSilentForGoodIsLeftWhereAnotherEndpointHasRoom(int entries, int event, long seed) {
        VirtualCallers callers = VirtualCallers.start(entries, ENDPOINTS, seed);
        callers.send(VirtualCallers.ALL_ROUTES, REQUESTS, INTERVAL);
        callers.runFor(Duration.ofMillis(500));
        List<VirtualCaller> silent = new ArrayList<>();
        silent.add(callers.caller(VirtualCallers.RESUMABLE));
        silent.add(callers.caller(VirtualCallers.PATIENT));
        if (event < 0) {
            silent.add(callers.caller(VirtualCallers.READ));
        }
        silent.forEach(caller -> caller.loseFirstConnectionBefore(event));
        silent.forEach(VirtualCaller::begin);
        callers.runToEnd();
        assertNoPromiseIsBroken(callers);
        silent.forEach(caller -> assertEquals(caller.outcome(), Outcome.COMPLETE, caller.trace()));
    }
}
