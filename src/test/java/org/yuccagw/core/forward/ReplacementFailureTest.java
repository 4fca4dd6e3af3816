package org.yuccagw.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;
import org.yuccagw.core.deployment.RouteKind;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.forward.ForwardMachine.TimerKind;
import org.yuccagw.core.port.BodyEnd;

/** Replacements of silent endpoints that don't answer with success. */
public class ReplacementFailureTest extends ForwardScenario {
    // Guards against giving up an endpoint that may still answer for an error answer of another one.
    @Test
    public void aSilentRequestIsAnsweredByItsEndpointIfTheOtherEndpointAnswersWithAnError() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlacementDecision(placed("e1"));
        effects.advance(Duration.ofMillis(400));
        machine.onTimer(TimerKind.HEAD, 1);
        machine.onPlacementDecision(placed("e2"));
        machine.onDelivery(2);
        machine.onHead(2, answer(500, true, true));
        machine.onHead(1, ok());
        machine.onBytes(1, bytes("late"));
        machine.onEnd(1, BodyEnd.LAST_CHUNK);
        assertEquals(effects.callerBody.toString(), "late", effects.lines.toString());
    }

    // Guards against an error of the entry where an endpoint's status without proof would have replaced a silent one.
    @Test
    public void aSilentRequestIsAnsweredByItsEndpointIfTheOtherEndpointAnswersThatItIsFull() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlacementDecision(placed("e1"));
        effects.advance(Duration.ofMillis(400));
        machine.onTimer(TimerKind.HEAD, 1);
        machine.onPlacementDecision(placed("e2"));
        machine.onDelivery(2);
        machine.onHead(2, answer(429, true, true));
        machine.onHead(1, ok());
        machine.onBytes(1, bytes("late"));
        machine.onEnd(1, BodyEnd.LAST_CHUNK);
        assertEquals(effects.callerBody.toString(), "late", effects.lines.toString());
    }

    // Guards against waiting until the deadline for a silent endpoint while an error answer is held.
    @Test
    public void aReplacementOfAnErrorAnswerIsWatchedForSilence() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 3);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, answer(500, true, true));
        machine.onPlacementDecision(placed("e2"));
        machine.onDelivery(2);
        assertTrue(effects.timers.contains("HEAD of leg 2"), effects.timers.toString());
    }

    // Guards against waiting until the deadline for a replacement because the silent endpoint answers with an error.
    @Test
    public void aReplacementIsWatchedForSilenceOnceTheSilentEndpointAnswersWithAnError() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 3);
        machine.onPlacementDecision(placed("e1"));
        effects.advance(Duration.ofMillis(400));
        machine.onTimer(TimerKind.HEAD, 1);
        machine.onPlacementDecision(placed("e2"));
        machine.onDelivery(2);
        machine.onHead(1, answer(500, true, true));
        assertTrue(effects.timers.contains("HEAD of leg 2"), effects.timers.toString());
    }

    // Guards against an error of the entry where an endpoint's own error answer is there.
    @Test
    public void aHeldErrorAnswerIsForwardedAtTheDeadline() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, answer(500, true, true));
        machine.onPlacementDecision(placed("e2"));
        machine.onDelivery(2);
        effects.advance(Duration.ofMillis(800));
        machine.onTimer(TimerKind.DEADLINE, 0);
        assertTrue(effects.lines.contains("head of leg 1"), effects.lines.toString());
    }

    // Guards against sending a request to more endpoints than its route permits, one for each pause.
    @Test
    public void aReplacementThatIsGivenUpCountsAsAnAttempt() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        passSilenceTimeout(machine);
        machine.onPlacementDecision(placed("e2"));
        machine.onDelivery(2);
        machine.onBytes(1, bytes("id: 1\ndata: a\n\n"));
        passSilenceTimeout(machine);
        assertEquals(
                effects.lines.stream().filter(line -> line.startsWith("place")).count(), 2);
    }

    // Guards against counting a request as ended twice.
    @Test
    public void aCallerThatDisconnectsAtTheEndOfItsAnswerEndsItOnce() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        effects.whenAnswerEnds = machine::onCallerDisconnected;
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        machine.onEnd(1, BodyEnd.LAST_CHUNK);
        assertEquals(effects.ends, 1);
    }

    // Guards against answering that a request may have run although its only endpoint stated that it did not.
    @Test
    public void aSilentEndpointThatRejectsAfterAllHasNotRunTheRequest() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlacementDecision(placed("e1"));
        effects.advance(Duration.ofMillis(400));
        machine.onTimer(TimerKind.HEAD, 1);
        machine.onHead(1, notRun(503));
        machine.onPlacementDecision(refused());
        assertEquals(effects.error, ErrorKind.RETRY_BUDGET_SPENT);
    }
}
