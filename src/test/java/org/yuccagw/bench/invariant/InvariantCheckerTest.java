package org.yuccagw.bench.invariant;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;
import org.yuccagw.bench.invariant.ObservedRequest.Sending;
import org.yuccagw.bench.invariant.Violation.Promise;
import org.yuccagw.standins.http.StandInJson;

/** Each check can fail: one broken promise is put into an otherwise sound observation. */
public class InvariantCheckerTest {
    private static final Sending WHOLE = Sending.answered("a b ", "a b ", List.of(1, 2));

    @Test
    public void aSoundObservationBreaksNothing() {
        assertBroken(List.of(request("w1", 1, true, WHOLE), request("w2", 2, false, WHOLE)), List.of(), run(1), run(2));
    }

    @Test
    public void anIdempotentRequestMayRunTwice() {
        assertBroken(List.of(request("w1", 1, false, WHOLE)), List.of(), run(1), run(1));
    }

    @Test
    public void aSecondRunOfANonIdempotentRequestIsFound() {
        assertBroken(
                List.of(request("w1", 1, true, WHOLE)),
                List.of(Promise.AT_MOST_ONCE, Promise.AT_MOST_ONCE),
                run(1),
                run(1));
    }

    @Test
    public void twoRunsOfOneKeyAreFoundWhateverTheirBodies() {
        ObservedRun first = new ObservedRun("p", "key", "", List.of("marker-1"));
        ObservedRun second = new ObservedRun("p", "key", "", List.of("marker-2"));
        assertBroken(
                List.of(request("w1", 1, true, WHOLE), request("w1", 2, true, WHOLE)),
                List.of(Promise.AT_MOST_ONCE),
                first,
                second);
    }

    @Test
    public void aRefusalAfterAPartOfTheAnswerIsFound() {
        Sending cut = Sending.unclear("a", "a b", List.of(1));
        assertBroken(List.of(request("w1", 1, true, cut, Sending.notRun())), List.of(Promise.TRUE_REFUSALS), run(1));
    }

    @Test
    public void aRunBehindARefusalIsFound() {
        assertBroken(List.of(request("w1", 1, false, Sending.notRun())), List.of(Promise.TRUE_REFUSALS), run(1));
    }

    @Test
    public void aRefusalFollowedByAnAnsweredSendingMayRun() {
        assertBroken(List.of(request("w1", 1, true, Sending.notRun(), WHOLE)), List.of(), run(1));
    }

    @Test
    public void aCutAnswerThatSeemsWholeIsFound() {
        Sending cut = Sending.answered("a ", "a b ", List.of(1));
        assertBroken(List.of(request("w1", 1, false, cut)), List.of(Promise.WHOLE_ANSWERS), run(1));
    }

    @Test
    public void aBrokenOffAnswerHasToBeAStartOfTheExpectedOne() {
        Sending start = Sending.unclear("a ", "a b ", List.of(1));
        Sending wrong = Sending.unclear("b ", "a b ", List.of(1));
        assertBroken(List.of(request("w1", 1, false, start)), List.of(), run(1));
        assertBroken(List.of(request("w1", 1, false, wrong)), List.of(Promise.WHOLE_ANSWERS), run(1));
    }

    @Test
    public void tokensOutOfOrderAreFound() {
        Sending swapped = Sending.answered("a b ", "a b ", List.of(2, 1));
        assertBroken(List.of(request("w1", 1, false, swapped)), List.of(Promise.WHOLE_ANSWERS), run(1));
    }

    @Test
    public void anAnswerWithAnotherWorkspacesMarkerIsFound() {
        Sending foreign = Sending.answered("marker-2", "marker-2", List.of());
        assertBroken(
                List.of(request("w1", 1, false, foreign), request("w2", 2, false, WHOLE)),
                List.of(Promise.WORKSPACES_APART),
                run(1),
                run(2));
    }

    @Test
    public void oneSaltForTwoWorkspacesIsFound() {
        assertBroken(
                List.of(request("w1", 1, false, WHOLE), request("w2", 2, false, WHOLE)),
                List.of(Promise.WORKSPACES_APART),
                new ObservedRun("e", "", "salt", List.of("marker-1")),
                new ObservedRun("e", "", "salt", List.of("marker-2")));
    }

    @Test
    public void oneRunWithTheMarkersOfTwoWorkspacesIsFound() {
        assertBroken(
                List.of(request("w1", 1, false, WHOLE), request("w2", 2, false, WHOLE)),
                List.of(Promise.WORKSPACES_APART),
                new ObservedRun("e", "", "", List.of("marker-1", "marker-2")));
    }

    @Test
    public void runsAreReadFromTheRecordsOfEnginesAndServices() {
        assertEquals(
                ObservedRun.allIn(StandInJson.parse(
                        "{\"runs\":[{\"engine\":\"e\",\"idempotency_key\":\"k\",\"salt\":\"s\",\"markers\":[\"m\"]}]}"
                                .getBytes(java.nio.charset.StandardCharsets.UTF_8))),
                List.of(new ObservedRun("e", "k", "s", List.of("m"))));
        assertEquals(
                ObservedRun.allIn(StandInJson.parse("{\"carried_out\":[{\"service\":\"p\",\"idempotency_key\":\"k\"}]}"
                        .getBytes(java.nio.charset.StandardCharsets.UTF_8))),
                List.of(new ObservedRun("p", "k", "", List.of())));
    }

    private static ObservedRequest request(String workspace, int number, boolean nonIdempotent, Sending... sendings) {
        return new ObservedRequest(workspace, "marker-" + number, nonIdempotent, List.of(sendings));
    }

    private static ObservedRun run(int number) {
        return new ObservedRun("e", "key-" + number, "", List.of("marker-" + number));
    }

    private static void assertBroken(List<ObservedRequest> requests, List<Promise> broken, ObservedRun... runs) {
        List<Violation> found = InvariantChecker.check(requests, List.of(runs));
        assertEquals(found.stream().map(Violation::promise).toList(), broken, found.toString());
    }
}
