package org.yuccagw.core.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.yuccagw.core.request.TestRequests.chosen;
import static org.yuccagw.core.request.TestRequests.head;

import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.quarantine.QuarantineRequested;
import org.yuccagw.core.routing.AttemptReport;
import org.yuccagw.core.routing.RouteRequested;

public class SilentEngineTest {
    private RecordedEffects effects;

    @BeforeMethod
    public void createEffects() {
        effects = new RecordedEffects();
    }

    // The silent run was given up before the route was asked, and the caller lost an answer that the engine worked on.
    @Test
    public void anAnswerGoesOnAtItsSilentEngineWhenNoOtherEngineIsFound() {
        RequestMachine machine = requestOfSilentEngine(true);
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 4);
        machine.onQuarantineDecision(new QuarantineRequested.Decision.Unrestricted());
        machine.onRoute(new RouteRequested.Answer.Refused(ErrorKind.NO_ENDPOINT.raise("assistant")));
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 5);
        answerRestOfStream(machine, 6);
        assertAnswerIsWhole();
        assertFalse(effects.lines.contains("cancel s1 after 0 ms"));
    }

    // The silent run was given up before the retry budget was asked.
    @Test
    public void anAnswerGoesOnAtItsSilentEngineWhenTheRetryBudgetIsSpent() {
        effects.retriesRefused = true;
        RequestMachine machine = requestOfSilentEngine(true);
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 4);
        answerRestOfStream(machine, 5);
        assertAnswerIsWhole();
    }

    // A request that may run once has no other place, and was ended as soon as its silent engine was found alive.
    @Test
    public void aNonIdempotentAnswerGoesOnAtItsSilentEngine() {
        RequestMachine machine = requestOfSilentEngine(false);
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 4);
        answerRestOfStream(machine, 5);
        assertAnswerIsWhole();
    }

    // The replacement turned the request away, and nothing was left to return to.
    @Test
    public void anAnswerGoesOnAtItsSilentEngineWhenItsReplacementRefuses() {
        RequestMachine machine = requestOfSilentEngine(true);
        sendToReplacement(machine);
        machine.onFailure(5, AttemptFailure.OVERLOADED, "full");
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 6);
        answerRestOfStream(machine, 7);
        assertAnswerIsWhole();
        assertEquals(effects.reports(AttemptReport.Ended.class).size(), 2);
    }

    // The silent engine worked on beside its replacement, because its stream was never cancelled.
    @Test
    public void theRunOnASilentEngineIsCancelledWhenItsReplacementAnswers() {
        RequestMachine machine = requestOfSilentEngine(true);
        sendToReplacement(machine);
        assertFalse(effects.lines.contains("cancel s1 after 0 ms"));
        machine.onHead(5, head("s2", "v1"));
        assertTrue(effects.lines.contains("cancel s1 after 0 ms"));
        assertEquals(effects.reports(AttemptReport.Ended.class).get(0).attempt(), 1);
        machine.onPiece(5, 1, "b ");
        machine.onUsage(5, new Usage(11, 1, 0, "stop"));
        machine.onDone(5);
        assertAnswerIsWhole();
    }

    // A request ended while its replacement was requested, and the silent engine worked on for nobody.
    @Test
    public void theRunOnASilentEngineIsCancelledAtTheDeadline() {
        RequestMachine machine = requestOfSilentEngine(true);
        machine.onTimer(RequestMachine.TimerKind.DEADLINE, 0);
        assertTrue(effects.lines.contains("cancel s1 after 0 ms"));
        assertEquals(effects.error.kind(), ErrorKind.DEADLINE_PASSED);
        assertEquals(effects.reports(AttemptReport.Ended.class).size(), 1);
    }

    // A retry was paid for in each round without a route, which took the budget of other requests.
    @Test
    public void aRetryThatFoundNoEngineIsNotPaidForAgain() {
        RequestMachine machine = requestOfSilentEngine(true);
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 4);
        machine.onQuarantineDecision(new QuarantineRequested.Decision.Unrestricted());
        machine.onRoute(new RouteRequested.Answer.Refused(ErrorKind.NO_ENDPOINT.raise("assistant")));
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 5);
        machine.onFailure(6, AttemptFailure.SILENT, "silent");
        machine.onProbed(6, true);
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 7);
        assertEquals(effects.lines.get(effects.lines.size() - 1), "request quarantine decision");
        assertEquals(
                effects.lines.stream().filter(line -> line.startsWith("retry")).count(), 1);
    }

    // The permit of a quarantined prompt was given up before another engine was found.
    @Test
    public void anAnswerWithThePermitOfItsPromptStaysAtItsSilentEngine() {
        RequestMachine machine = TestRequests.machine(effects, true, false);
        machine.begin();
        machine.onAdmitted(Optional.empty());
        machine.onQuarantineDecision(new QuarantineRequested.Decision.Isolated(7));
        machine.onRoute(chosen("e1", 1));
        fallSilent(machine);
        assertEquals(effects.reports(QuarantineRequested.PermitReturned.class).size(), 0);
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 4);
        answerRestOfStream(machine, 5);
        assertAnswerIsWhole();
        assertEquals(effects.reports(QuarantineRequested.PermitReturned.class).size(), 1);
    }

    /** Returns a request with one piece whose engine fell silent three times and was found alive by the probe. */
    private RequestMachine requestOfSilentEngine(boolean idempotent) {
        RequestMachine machine = TestRequests.sent(effects, idempotent, false);
        fallSilent(machine);
        return machine;
    }

    private static void fallSilent(RequestMachine machine) {
        machine.onHead(1, head("s1", "v1"));
        machine.onPiece(1, 1, "a ");
        machine.onFailure(1, AttemptFailure.SILENT, "silent");
        machine.onFailure(2, AttemptFailure.SILENT, "silent");
        machine.onFailure(3, AttemptFailure.SILENT, "silent");
        machine.onProbed(3, true);
    }

    private void sendToReplacement(RequestMachine machine) {
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 4);
        machine.onQuarantineDecision(new QuarantineRequested.Decision.Unrestricted());
        machine.onRoute(chosen("e2", 2));
        assertTrue(effects.lines.contains("send leg 5 to e2 after 'a '"));
    }

    private void answerRestOfStream(RequestMachine machine, long leg) {
        machine.onHead(leg, head("s1", "v1"));
        machine.onPiece(leg, 2, "b ");
        machine.onUsage(leg, new Usage(10, 2, 0, "stop"));
        machine.onDone(leg);
    }

    private void assertAnswerIsWhole() {
        assertEquals(effects.callerText.toString(), "a b ", effects.lines.toString());
        assertTrue(effects.lines.contains("end"));
        assertEquals(effects.ends, 1);
    }
}
