package org.yuccagw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccagw.daemon.PausingEndpoint.Reaction;
import org.yuccagw.daemon.VirtualCaller.Outcome;

/**
 * Endpoints that pause while others reject requests, answer with errors, can't be reached or end, behind a whole fleet
 * of entries. {@code -Dsilence.seeds=200} runs more random schedules.
 */
public class SilentEndpointErrorsTest {
    private static final String SEEDS_PROPERTY = "silence.seeds";
    private static final int DEFAULT_SEEDS = 16;
    private static final int SMALL = 8;
    private static final int ENDPOINTS = 6;
    private static final Duration INTERVAL = Duration.ofMillis(10);

    /** More seeds run at the small size, which costs least. */
    private static final int SEEDS_OF_MEDIUM = 3;

    private static final int SEEDS_OF_LARGE = 1;
    private static final int MEDIUM = 27;
    private static final int LARGE = 71;

    /** Shorter than the time after which the callers of streams leave. */
    private static final Duration LONG_PAUSE = Duration.ofMillis(1_700);

    private static final Duration SHORT_PAUSE = Duration.ofMillis(1_200);
    private static final List<Reaction> REACTIONS = List.of(Reaction.values());
    private static final int STEPS = 24;
    private static final int MAX_KILLED = 2;

    private VirtualCallers callers;
    private SplittableRandom random;
    private int killed;

    private static void assertNoPromiseIsBroken(VirtualCallers callers) {
        List<String> violations = callers.violations();
        assertTrue(
                violations.isEmpty(),
                violations.size() + " broken promises to " + callers.callers.size() + " callers, first: "
                        + (violations.isEmpty() ? "" : violations.get(0)));
    }

    @DataProvider
    public Object[][] errorsDuringAPause() {
        return Stream.of(Reaction.FAULT, Reaction.UNAVAILABLE, Reaction.REJECT, Reaction.UNREACHABLE)
                .flatMap(reaction -> Stream.of(VirtualCallers.RESUMABLE, VirtualCallers.THRICE, VirtualCallers.READ)
                        .flatMap(path ->
                                Stream.of(20, 120).map(untilPause -> new Object[] {path, reaction, untilPause})))
                .toArray(Object[][]::new);
    }

    // The first endpoint pauses before or after the head of its answer, and a second one answers with an error.
    @Test(dataProvider = "errorsDuringAPause")
    public void anErrorOfAnotherEndpointReplacesNoAnswerThatIsUnderWay(
            String path, Reaction reaction, int untilPauseMillis) {
        callers = VirtualCallers.start(SMALL, ENDPOINTS, 71);
        VirtualCaller caller = callers.caller(path);
        caller.setReactions(Reaction.ANSWER, reaction, reaction, reaction);
        caller.begin();
        callers.runFor(Duration.ofMillis(untilPauseMillis));
        caller.firstEndpoint().suspend(LONG_PAUSE);
        callers.runToEnd();
        assertNoPromiseIsBroken(callers);
        assertEquals(caller.outcome(), Outcome.COMPLETE, caller.trace());
    }

    @DataProvider
    public Object[][] paths() {
        return new Object[][] {{VirtualCallers.RESUMABLE}, {VirtualCallers.ONCE}, {VirtualCallers.READ}};
    }

    // The body of an error answer contains no events, so that it ended inside the first one.
    @Test(dataProvider = "paths")
    public void anErrorAnswerOfAnEndpointIsForwardedWhole(String path) {
        callers = VirtualCallers.start(SMALL, ENDPOINTS, 73);
        VirtualCaller caller = callers.caller(path);
        caller.setReactions(Reaction.FAULT, Reaction.FAULT);
        caller.begin();
        callers.runToEnd();
        assertNoPromiseIsBroken(callers);
        assertEquals(caller.outcome(), Outcome.FAULT, caller.trace());
    }

    @DataProvider
    public Object[][] repeatablePaths() {
        return new Object[][] {{VirtualCallers.RESUMABLE}, {VirtualCallers.THRICE}, {VirtualCallers.READ}};
    }

    // An error answer was held for the caller and then forwarded, though the second endpoint only paused.
    @Test(dataProvider = "repeatablePaths")
    public void aHeldErrorIsNotForwardedWhileAnotherEndpointOnlyPauses(String path) {
        callers = VirtualCallers.start(SMALL, ENDPOINTS, 74);
        VirtualCaller caller = callers.caller(path);
        caller.setReactions(Reaction.FAULT);
        caller.begin();
        callers.runFor(Duration.ofMillis(60));
        callers.engines.forEach(endpoint -> endpoint.suspend(SHORT_PAUSE));
        callers.plain.forEach(endpoint -> endpoint.suspend(SHORT_PAUSE));
        callers.runToEnd();
        assertNoPromiseIsBroken(callers);
        assertEquals(caller.outcome(), Outcome.COMPLETE, caller.trace());
    }

    @DataProvider
    public Object[][] silenceBesideErrors() {
        return new Object[][] {
            {VirtualCallers.RESUMABLE, 9, List.of(Reaction.ANSWER, Reaction.REJECT, Reaction.REJECT)},
            {VirtualCallers.RESUMABLE, -1, List.of(Reaction.ANSWER, Reaction.REJECT, Reaction.UNREACHABLE)},
            {VirtualCallers.RESUMABLE, 9, List.of(Reaction.ANSWER, Reaction.UNREACHABLE)},
            {VirtualCallers.THRICE, 9, List.of(Reaction.ANSWER, Reaction.FAULT)},
            {VirtualCallers.THRICE, -1, List.of(Reaction.ANSWER, Reaction.FAULT)},
            {VirtualCallers.THRICE, -1, List.of(Reaction.ANSWER, Reaction.UNAVAILABLE)},
            {VirtualCallers.THRICE, 9, List.of(Reaction.ANSWER, Reaction.SILENT)},
            {VirtualCallers.THRICE, -1, List.of(Reaction.FAULT, Reaction.SILENT)},
            {VirtualCallers.THRICE, -1, List.of(Reaction.ANSWER, Reaction.SILENT)}
        };
    }

    // Another endpoint has room after the ones that fail, so that the caller gets its answer before it leaves.
    @Test(dataProvider = "silenceBesideErrors")
    public void aSilentConnectionIsLeftThoughOtherEndpointsFail(String path, int event, List<Reaction> reactions) {
        callers = VirtualCallers.start(SMALL, ENDPOINTS, 72);
        VirtualCaller caller = callers.caller(path);
        caller.setReactions(reactions.toArray(Reaction[]::new));
        caller.loseFirstConnectionBefore(event);
        caller.begin();
        callers.runToEnd();
        assertNoPromiseIsBroken(callers);
        assertEquals(caller.outcome(), Outcome.COMPLETE, caller.trace());
    }

    @DataProvider
    public Object[][] seeds() {
        int count = Integer.getInteger(SEEDS_PROPERTY, DEFAULT_SEEDS);
        List<Object[]> seeds = new ArrayList<>();
        for (int seed = 0; seed < count; seed++) {
            seeds.add(new Object[] {seed, seed < SEEDS_OF_LARGE ? LARGE : seed < SEEDS_OF_MEDIUM ? MEDIUM : SMALL});
        }
        return seeds.toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void noPromiseIsBrokenWhateverHappens(int seed, int entries) {
        random = new SplittableRandom(seed);
        killed = 0;
        callers = VirtualCallers.start(entries, 3 + random.nextInt(ENDPOINTS), seed);
        if (random.nextInt(3) == 0) {
            callers.setAnswerTokens(2_000 + random.nextInt(8_000));
        }
        callers.setLostConnections(random.nextInt(3) == 0 ? 0.1 : 0);
        callers.send(VirtualCallers.ALL_ROUTES, 400, INTERVAL);
        callers.runFor(Duration.ofMillis(300));
        for (int step = 0; step < STEPS; step++) {
            applyRandomEvent();
            callers.runFor(Duration.ofMillis(20 + random.nextInt(300)));
        }
        callers.runToEnd();
        assertNoPromiseIsBroken(callers);
        assertTrue(callers.count(Outcome.COMPLETE) > 0);
    }

    private void applyRandomEvent() {
        PausingEndpoint endpoint = random.nextInt(4) == 0 ? randomOf(callers.plain) : randomOf(callers.engines);
        Duration pause = Duration.ofMillis(100 + random.nextInt(2_400));
        switch (random.nextInt(10)) {
            case 0 -> callers.engines.forEach(each -> each.suspend(pause));
            case 1 -> callers.plain.forEach(each -> each.suspend(pause));
            case 2 -> callers.engines.stream().skip(random.nextInt(3)).forEach(each -> each.suspend(pause));
            case 3 -> kill(endpoint);
            case 4 -> callers.spendRetryBudgets(pause);
            case 5 ->
                callers.load
                        .nodes
                        .get(random.nextInt(callers.load.nodes.size()))
                        .pause(pause);
            case 6, 7 -> endpoint.setReaction(REACTIONS.get(random.nextInt(REACTIONS.size())));
            case 8 -> endpoint.setReaction(Reaction.ANSWER);
            default -> endpoint.suspend(pause);
        }
    }

    private void kill(PausingEndpoint endpoint) {
        if (killed < MAX_KILLED) {
            killed++;
            endpoint.kill();
        }
    }

    private PausingEndpoint randomOf(List<PausingEndpoint> endpoints) {
        return endpoints.get(random.nextInt(endpoints.size()));
    }
}
