package org.yuccagw.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;
import org.yuccagw.core.deployment.RouteKind;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.forward.ForwardMachine.TimerKind;
import org.yuccagw.core.placing.AttemptEnded.End;
import org.yuccagw.core.placing.PlacementDecision;

/** Streams that have begun and have no endpoint for a while. */
public class ReturningStreamTest extends ForwardScenario {
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";

    private ForwardMachine beginStream(int attempts) {
        ForwardMachine machine = begin(RouteKind.STREAM, true, attempts);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        machine.onBytes(1, bytes(FIRST_EVENT));
        return machine;
    }

    // Guards against cutting a stream because no endpoint is free at the moment at which its own one fails.
    @Test
    public void aStreamThatIsRefusedAnEndpointAsksAgainAndGoesOn() {
        ForwardMachine machine = beginStream(2);
        machine.onFailure(1, End.BROKEN, "reset");
        machine.onPlacementDecision(refused());
        assertFalse(effects.lines.contains("cut"), effects.lines.toString());
        effects.advance(Duration.ofMillis(50));
        machine.onTimer(TimerKind.PLACEMENT, 0);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(2, ok());
        machine.onBytes(2, bytes(SECOND_EVENT));
        assertEquals(effects.callerBody.toString(), FIRST_EVENT + SECOND_EVENT);
    }

    // Guards against arrivals beyond the retry budget: a rejection counts as an arrival, though nothing ran.
    @Test
    public void aStreamThatWasRejectedAndWaitsIsARepeat() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2, 1);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, notRun(503));
        effects.lines.clear();
        machine.onPlacementDecision(new PlacementDecision.Refused(ErrorKind.NO_ENDPOINT.raise(SERVICE)));
        effects.advance(Duration.ofMillis(50));
        machine.onTimer(TimerKind.PLACEMENT, 0);
        assertTrue(effects.lines.stream().anyMatch(line -> line.startsWith("place REPEAT")), effects.lines.toString());
    }

    // Guards against the end of a paused stream whose second endpoint rejects it while none is free.
    @Test
    public void aStreamThatIsRejectedLateGoesBackToTheEndpointThatPaused() {
        ForwardMachine machine = beginStream(2);
        effects.advance(Duration.ofMillis(600));
        machine.onTimer(TimerKind.GAP, 1);
        machine.onPlacementDecision(placed("e2"));
        machine.onDelivery(2);
        effects.advance(Duration.ofMillis(100));
        machine.onTimer(TimerKind.OVERLAP, 2);
        machine.onHead(2, notRun(503));
        machine.onPlacementDecision(refused());
        effects.advance(Duration.ofMillis(50));
        machine.onTimer(TimerKind.PLACEMENT, 0);
        assertTrue(effects.lines.contains("place REPEAT without [] version 1"), effects.lines.toString());
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(3, ok());
        machine.onBytes(3, bytes(SECOND_EVENT));
        assertEquals(effects.callerBody.toString(), FIRST_EVENT + SECOND_EVENT);
    }

    // Guards against cutting a stream that paused once, went on, and breaks off later.
    @Test
    public void aStreamWhoseLimitOfEndpointsIsReachedReturnsToTheOneThatHasNotFailed() {
        ForwardMachine machine = beginStream(2);
        effects.advance(Duration.ofMillis(600));
        machine.onTimer(TimerKind.GAP, 1);
        machine.onPlacementDecision(placed("e2"));
        machine.onDelivery(2);
        machine.onBytes(1, bytes(SECOND_EVENT));
        machine.onFailure(1, End.BROKEN, "reset");
        assertTrue(effects.lines.contains("return to [e2]"), effects.lines.toString());
        assertFalse(effects.lines.contains("cut"), effects.lines.toString());
    }

    // Guards against a third endpoint for a stream that may run on two, after both have failed it.
    @Test
    public void aStreamThatFailedOnAllItsEndpointsIsNotSentToOthers() {
        ForwardMachine machine = beginStream(2);
        effects.advance(Duration.ofMillis(600));
        machine.onTimer(TimerKind.GAP, 1);
        machine.onPlacementDecision(placed("e2"));
        machine.onDelivery(2);
        machine.onBytes(1, bytes(SECOND_EVENT));
        machine.onFailure(1, End.BROKEN, "reset");
        machine.onPlacementDecision(placed("e2"));
        machine.onHead(3, ok());
        machine.onFailure(3, End.BROKEN, "reset");
        assertTrue(effects.lines.contains("cut"), effects.lines.toString());
        assertEquals(sentLegs(), 3);
    }

    @Test
    public void aStreamWithoutAnEndpointIsCutAtItsDeadline() {
        ForwardMachine machine = beginStream(2);
        machine.onFailure(1, End.BROKEN, "reset");
        machine.onPlacementDecision(refused());
        effects.advance(Duration.ofMillis(800));
        machine.onTimer(TimerKind.PLACEMENT, 0);
        assertFalse(effects.lines.contains("cut"), effects.lines.toString());
        machine.onTimer(TimerKind.DEADLINE, 0);
        assertTrue(effects.lines.contains("cut"), effects.lines.toString());
        assertEquals(effects.ends, 1);
    }

    // Guards against keeping the caller of a prompt that no endpoint will be given.
    @Test
    public void aStreamThatEndedTooManyEndpointsIsCutAtOnce() {
        ForwardMachine machine = beginStream(2);
        machine.onFailure(1, End.BROKEN, "reset");
        machine.onPlacementDecision(new PlacementDecision.Refused(ErrorKind.SUSPECT_REQUEST.raise(3)));
        assertTrue(effects.lines.contains("cut"), effects.lines.toString());
    }

    @Test
    public void aRefusalEndsARequestWhoseAnswerHasNotBegun() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2);
        machine.onPlacementDecision(refused());
        assertEquals(effects.error, ErrorKind.RETRY_BUDGET_SPENT);
    }
}
