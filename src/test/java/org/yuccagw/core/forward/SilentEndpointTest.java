package org.yuccagw.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.testng.annotations.Test;
import org.yuccagw.core.deployment.RouteKind;
import org.yuccagw.core.forward.ForwardMachine.TimerKind;
import org.yuccagw.core.placing.AttemptEnded.End;
import org.yuccagw.core.port.BodyEnd;

/** Endpoints that send nothing for a while, during which another endpoint is sought. */
public class SilentEndpointTest extends ForwardScenario {
    // Guards against aborting a stream that is only paused because no other endpoint is available.
    @Test
    public void aSilentStreamGoesOnIfNoOtherEndpointIsAvailable() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        machine.onBytes(1, bytes("id: 1\ndata: a\n\n"));
        passSilenceTimeout(machine);
        machine.onPlacementDecision(refused());
        machine.onBytes(1, bytes("id: 2\ndata: b\n\n"));
        machine.onEnd(1, BodyEnd.LAST_CHUNK);
        assertEquals(effects.callerBody.toString(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertEquals(effects.attempts, ImmutableList.of(End.ANSWERED));
        assertFalse(effects.lines.contains("cut"), effects.lines.toString());
    }

    // Guards against aborting a paused stream because its attempts are used up.
    @Test
    public void aSilentStreamGoesOnIfNoAttemptIsLeft() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 1);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        passSilenceTimeout(machine);
        machine.onBytes(1, bytes("id: 1\ndata: a\n\n"));
        machine.onEnd(1, BodyEnd.LAST_CHUNK);
        assertEquals(effects.callerBody.toString(), "id: 1\ndata: a\n\n");
        assertEquals(effects.attempts, ImmutableList.of(End.ANSWERED));
    }

    // Guards against answering with an error while the endpoint may still answer.
    @Test
    public void aSilentRequestIsAnsweredByItsEndpointIfNoOtherEndpointIsAvailable() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlacementDecision(placed("e1"));
        effects.advance(Duration.ofMillis(400));
        machine.onTimer(TimerKind.HEAD, 1);
        machine.onPlacementDecision(refused());
        machine.onHead(1, ok());
        machine.onBytes(1, bytes("late"));
        machine.onEnd(1, BodyEnd.LAST_CHUNK);
        assertEquals(effects.callerBody.toString(), "late");
        assertEquals(effects.error, null);
    }

    // Guards against leaving an endpoint that continues while another one is being sought.
    @Test
    public void aSilentStreamThatContinuesStaysOnItsEndpoint() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        passSilenceTimeout(machine);
        machine.onBytes(1, bytes("id: 1\ndata: a\n\n"));
        machine.onPlacementDecision(placed("e2"));
        machine.onEnd(1, BodyEnd.LAST_CHUNK);
        assertEquals(effects.callerBody.toString(), "id: 1\ndata: a\n\n");
        assertEquals(effects.attempts, ImmutableList.of(End.LEFT, End.ANSWERED));
        assertEquals(sentLegs(), 1);
    }

    // Guards against giving up a paused stream for an endpoint that does not accept it.
    @Test
    public void aSilentStreamGoesOnIfTheOtherEndpointRejectsIt() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        passSilenceTimeout(machine);
        machine.onPlacementDecision(placed("e2"));
        machine.onHead(2, notRun(503));
        machine.onPlacementDecision(refused());
        machine.onBytes(1, bytes("id: 1\ndata: a\n\n"));
        machine.onEnd(1, BodyEnd.LAST_CHUNK);
        assertEquals(effects.callerBody.toString(), "id: 1\ndata: a\n\n");
        assertEquals(effects.attempts, ImmutableList.of(End.SHED, End.ANSWERED));
    }

    // Guards against giving up a paused stream for an endpoint that can't be reached.
    @Test
    public void aSilentStreamGoesOnIfTheOtherEndpointIsNotReached() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        passSilenceTimeout(machine);
        machine.onPlacementDecision(placed("e2"));
        machine.onFailure(2, End.UNREACHED, "refused");
        machine.onPlacementDecision(refused());
        machine.onBytes(1, bytes("id: 1\ndata: a\n\n"));
        machine.onEnd(1, BodyEnd.LAST_CHUNK);
        assertEquals(effects.callerBody.toString(), "id: 1\ndata: a\n\n");
    }

    @Test
    public void aSilentStreamIsGivenUpOnceAnotherEndpointContinuesIt() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        machine.onBytes(1, bytes("id: 1\ndata: a\n\nid: 2\nda"));
        passSilenceTimeout(machine);
        machine.onPlacementDecision(placed("e2"));
        assertFalse(effects.lines.contains("abandon leg 1"), effects.lines.toString());
        machine.onHead(2, ok());
        assertTrue(effects.lines.contains("abandon leg 1"), effects.lines.toString());
        machine.onBytes(1, bytes("ta: late\n\n"));
        machine.onBytes(2, bytes("id: 2\ndata: b\n\n"));
        machine.onEnd(2, BodyEnd.LAST_CHUNK);
        assertEquals(effects.callerBody.toString(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertEquals(effects.attempts, ImmutableList.of(End.SILENT, End.ANSWERED));
    }

    // Guards against work at two endpoints for a caller that has left.
    @Test
    public void bothAttemptsOfACallerThatDisconnectedAreAbandoned() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        passSilenceTimeout(machine);
        machine.onPlacementDecision(placed("e2"));
        machine.onCallerDisconnected();
        assertTrue(effects.lines.contains("abandon leg 1"), effects.lines.toString());
        assertTrue(effects.lines.contains("abandon leg 2"), effects.lines.toString());
        assertEquals(effects.attempts, ImmutableList.of(End.LEFT, End.SILENT));
    }

    // Guards against a stream that ends because its endpoint breaks off while the other one is on its way.
    @Test
    public void aSilentStreamWhoseEndpointFailsContinuesOnTheOtherEndpoint() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        machine.onBytes(1, bytes("id: 1\ndata: a\n\n"));
        passSilenceTimeout(machine);
        machine.onFailure(1, End.BROKEN, "reset");
        machine.onPlacementDecision(placed("e2"));
        machine.onHead(2, ok());
        machine.onBytes(2, bytes("id: 2\ndata: b\n\n"));
        machine.onEnd(2, BodyEnd.LAST_CHUNK);
        assertEquals(effects.callerBody.toString(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertEquals(
                effects.lines.stream().filter(line -> line.startsWith("place")).count(), 2);
    }

    // Guards against replacing an error answer of an endpoint by an error of the entry.
    @Test
    public void anErrorAnswerIsForwardedIfTheOtherEndpointFails() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, answer(500, true, true));
        machine.onPlacementDecision(placed("e2"));
        machine.onFailure(2, End.BROKEN, "reset");
        machine.onBytes(1, bytes("why"));
        machine.onEnd(1, BodyEnd.LAST_CHUNK);
        assertEquals(effects.callerBody.toString(), "why");
        assertEquals(effects.attempts, ImmutableList.of(End.BROKEN, End.FAULT));
    }

    // Guards against taking a caller that reads slowly for an endpoint that is silent.
    @Test
    public void aStreamThatIsNotReadIsNotSilent() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        machine.onReadingPaused();
        passSilenceTimeout(machine);
        machine.onReadingResumed();
        machine.onTimer(TimerKind.GAP, 1);
        assertEquals(
                effects.lines.stream().filter(line -> line.startsWith("place")).count(), 1);
    }

    @Test
    public void whatBecameOfASilentEndpointIsReportedOnce() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        passSilenceTimeout(machine);
        machine.onBytes(1, bytes("id: 1\ndata: a\n\n"));
        machine.onBytes(1, bytes("id: 2\ndata: b\n\n"));
        machine.onEnd(1, BodyEnd.LAST_CHUNK);
        assertEquals(effects.silences, ImmutableList.of(SilenceOutcome.CONTINUED));
    }
}
