package org.yuccagw.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.OptionalLong;
import org.testng.annotations.Test;
import org.yuccagw.core.deployment.RouteKind;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.forward.ForwardMachine.TimerKind;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.notice.EndpointNotice;
import org.yuccagw.core.notice.NoticeReceived;
import org.yuccagw.core.notice.RateLimit;
import org.yuccagw.core.placing.AttemptEnded.End;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.port.BodyEnd;

public class ForwardMachineTest extends ForwardScenario {
    private static final EndpointIncarnation FIRST_INCARNATION = EndpointIncarnation.of(EndpointId.of("e1"), 1);

    // ---- Answers without failures

    @Test
    public void anAnswerIsForwardedUnchanged() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        machine.onBytes(1, bytes("body"));
        machine.onEnd(1, BodyEnd.LAST_CHUNK);
        assertEquals(effects.lines.get(1), "send leg 1 to e1 left 800 after -1");
        assertEquals(effects.callerBody.toString(), "body");
        assertEquals(effects.attempts, ImmutableList.of(End.ANSWERED));
        assertEquals(effects.ends, 1);
    }

    @Test
    public void theSecondAttemptGetsTheRemainingTime() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlacementDecision(placed("e1"));
        effects.advance(Duration.ofMillis(300));
        machine.onFailure(1, End.BROKEN, "reset");
        machine.onPlacementDecision(placed("e2"));
        assertTrue(effects.lines.contains("send leg 2 to e2 left 500 after -1 fresh"), effects.lines.toString());
    }

    @Test
    public void theRateLimitInAnAnswerIsReportedForItsEndpoint() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, withNotice(ok(), EndpointNotice.ofRateLimit(RateLimit.of(1.4))));
        assertEquals(
                effects.notices,
                ImmutableList.of(
                        new NoticeReceived(FIRST_INCARNATION, EndpointNotice.ofRateLimit(RateLimit.of(1.4)), false)));
    }

    @Test
    public void anAnswerWithoutARateLimitIsReportedIfOneWasKnown() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        machine.onEnd(1, BodyEnd.LAST_CHUNK);
        assertEquals(effects.notices, ImmutableList.of());
        ForwardMachine second = begin(RouteKind.IDEMPOTENT, false, 2);
        second.onPlacementDecision(placed("e1", true));
        second.onHead(1, ok());
        assertEquals(
                effects.notices, ImmutableList.of(new NoticeReceived(FIRST_INCARNATION, EndpointNotice.NONE, true)));
    }

    // An answer that is held during a retry, or discarded because the request is placed elsewhere, is not forwarded.
    // The notice in its head must be reported nevertheless.
    @Test
    public void noticesInAnswersThatAreNotForwardedAreReported() {
        EndpointNotice leaving = EndpointNotice.ofLeaving();
        EndpointNotice backOff = EndpointNotice.ofBackOff(Duration.ofSeconds(3));
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 3);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, withNotice(answer(500, true, true), leaving));
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(2, withNotice(notRun(503), backOff));
        assertEquals(
                effects.notices,
                ImmutableList.of(
                        new NoticeReceived(FIRST_INCARNATION, leaving, false),
                        new NoticeReceived(FIRST_INCARNATION, backOff, false)));
    }

    // An overloaded endpoint answers without reading the request, so its answer does not name the request id.
    @Test
    public void aNoticeInARefusalWithoutARequestIdIsReported() {
        EndpointNotice backOff = EndpointNotice.ofBackOff(Duration.ofSeconds(3));
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 3);
        machine.onPlacementDecision(placed("e1"));
        EndpointAnswerHead refusal =
                new EndpointAnswerHead(503, false, false, true, false, false, OptionalLong.empty(), backOff);
        machine.onHead(1, refusal);
        assertEquals(effects.notices, ImmutableList.of(new NoticeReceived(FIRST_INCARNATION, backOff, false)));
    }

    @Test
    public void aRateLimitInAnAnswerOfAnotherEndpointIsNotReportedForTheExpectedOne() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(
                1,
                new EndpointAnswerHead(
                        421,
                        true,
                        false,
                        true,
                        true,
                        false,
                        OptionalLong.empty(),
                        EndpointNotice.ofRateLimit(RateLimit.of(1.4))));
        assertEquals(effects.notices, ImmutableList.of());
    }

    // Placement depends on the prompt tokens that an engine still has to prefill, so the start of an answer must be
    // reported, and exactly once.
    @Test
    public void theStartOfAStreamedAnswerIsReportedOnce() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        machine.onBytes(1, bytes("id: 1\n\n"));
        assertEquals(effects.begunTickets, ImmutableList.of(1L));
    }

    // ---- No request runs twice

    // The connection breaks after the request was sent, and the endpoint may have run it. A retry would run a request
    // that is not idempotent twice, and a status that implies "not run" would make the caller retry it.
    @Test
    public void aNonIdempotentRequestThatMayHaveRunIsNeitherRetriedNorReportedAsNotRun() {
        ForwardMachine machine = begin(RouteKind.NON_IDEMPOTENT, false, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onFailure(1, End.BROKEN, "reset");
        assertEquals(effects.error, ErrorKind.ENDPOINT_FAILED);
        assertEquals(effects.error.ran(), ErrorKind.Ran.MAY_HAVE_RUN);
        assertEquals(effects.error.status(), 502);
    }

    @Test
    public void aRequestThatWasNotSentIsRetriedElsewhereWhateverItsKind() {
        ForwardMachine machine = begin(RouteKind.NON_IDEMPOTENT, false, 1);
        machine.onPlacementDecision(placed("e1"));
        machine.onFailure(1, End.UNREACHED, "refused");
        assertTrue(effects.lines.contains("place UNSENT without [e1]"), effects.lines.toString());
        machine.onPlacementDecision(placed("e2"));
        machine.onHead(2, ok());
        machine.onEnd(2, BodyEnd.LAST_CHUNK);
        assertEquals(effects.attempts, ImmutableList.of(End.UNREACHED, End.ANSWERED));
    }

    @Test
    public void aRequestThatAnEndpointReportsAsNotRunIsRetriedElsewhereWithinTheBudget() {
        ForwardMachine machine = begin(RouteKind.NON_IDEMPOTENT, false, 1);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, notRun(503));
        assertTrue(effects.lines.contains("place REPEAT without [e1]"), effects.lines.toString());
        machine.onPlacementDecision(new PlacementDecision.Refused(ErrorKind.RETRY_BUDGET_SPENT.raise(SERVICE)));
        assertEquals(effects.error.ran(), ErrorKind.Ran.NOT_RUN);
    }

    // An endpoint answers with status 503 without stating that it did not run the request. If forwarded, the status
    // would imply "not run", and the caller would retry a write that may have been carried out.
    @Test
    public void aStatusThatImpliesNotRunWithoutProofIsNotForwarded() {
        ForwardMachine machine = begin(RouteKind.NON_IDEMPOTENT, false, 1);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, answer(503, true, false));
        assertEquals(effects.error, ErrorKind.ENDPOINT_FAILED);
    }

    @Test
    public void aRequestThatIsNotRepeatableIsSentOverANewConnection() {
        begin(RouteKind.NON_IDEMPOTENT, false, 1).onPlacementDecision(placed("e1"));
        assertTrue(effects.lines.get(1).endsWith("fresh"), effects.lines.toString());
    }

    @Test
    public void aRequestRunsOnNoMoreEndpointsThanItsRouteAllows() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onFailure(1, End.BROKEN, "reset");
        machine.onPlacementDecision(placed("e2"));
        machine.onFailure(2, End.BROKEN, "reset");
        assertEquals(effects.error, ErrorKind.ENDPOINT_FAILED);
        assertEquals(effects.attempts.size(), 2);
    }

    // ---- Authenticity of answers

    // A late answer to an earlier request is received on a reused connection. If forwarded, the caller would get the
    // data of another caller.
    @Test
    public void anAnswerThatNamesAnotherRequestIsNeverForwarded() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 1);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, answer(200, false, true));
        machine.onBytes(1, bytes("somebody else's"));
        assertEquals(effects.callerBody.length(), 0);
        assertEquals(effects.attempts, ImmutableList.of(End.BROKEN));
    }

    @Test
    public void aSuccessWithoutASealIsRejected() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 1);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, answer(200, true, false));
        assertEquals(effects.error, ErrorKind.ENDPOINT_FAILED);
    }

    @Test
    public void anInterruptedAnswerIsAbortedAndNotCompleted() {
        ForwardMachine machine = begin(RouteKind.NON_IDEMPOTENT, false, 1);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        machine.onBytes(1, bytes("half"));
        machine.onFailure(1, End.BROKEN, "reset");
        assertTrue(effects.lines.contains("cut"));
        assertFalse(effects.lines.contains("end"));
    }

    // The head of an answer says "not run" after the attempt was counted as ended. Reading the endpoint of the ended
    // attempt threw an exception, and the caller waited until its deadline without an answer.
    @Test
    public void anAnswerThatSaysNotRunEndsTheAttemptOnce() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, notRun(421));
        machine.onFailure(1, End.BROKEN, "late");
        assertEquals(effects.attempts, ImmutableList.of(End.WRONG_VERSION));
    }

    // ---- Held error answers

    @Test
    public void anErrorAnswerIsForwardedIfNoOtherEndpointIsAvailable() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, answer(500, true, true));
        machine.onPlacementDecision(new PlacementDecision.Refused(ErrorKind.RETRY_BUDGET_SPENT.raise(SERVICE)));
        machine.onBytes(1, bytes("why"));
        machine.onEnd(1, BodyEnd.LAST_CHUNK);
        assertEquals(effects.callerBody.toString(), "why");
        assertEquals(effects.attempts, ImmutableList.of(End.FAULT));
    }

    @Test
    public void anErrorAnswerIsDiscardedIfAnotherEndpointAnswers() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, answer(500, true, true));
        machine.onEnd(1, BodyEnd.LAST_CHUNK);
        machine.onPlacementDecision(placed("e2"));
        machine.onHead(2, ok());
        machine.onBytes(2, bytes("good"));
        machine.onEnd(2, BodyEnd.LAST_CHUNK);
        assertEquals(effects.callerBody.toString(), "good");
        assertEquals(effects.ends, 1);
    }

    // ---- Streams

    // The engine crashes in the middle of event 3, after events 1 and 2 were forwarded. The caller would receive an
    // incomplete event or the same events twice. The stream must continue after event 2 on another engine with the same
    // weight version.
    @Test
    public void aResumableStreamContinuesAfterItsLastCompleteEvent() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        machine.onBytes(1, bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"));
        machine.onFailure(1, End.BROKEN, "reset");
        assertTrue(effects.lines.contains("place REPEAT without [e1] version 1"), effects.lines.toString());
        machine.onPlacementDecision(placed("e2"));
        assertTrue(effects.lines.get(effects.lines.size() - 1).contains("after 2"));
        machine.onHead(2, ok());
        machine.onBytes(2, bytes("id: 3\ndata: c\n\n"));
        machine.onEnd(2, BodyEnd.LAST_CHUNK);
        assertEquals(effects.callerBody.toString(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        assertEquals(
                effects.lines.stream().filter(line -> line.startsWith("head")).count(), 1);
    }

    @Test
    public void aStreamThatEndsInsideAnEventIsAborted() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 1);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        machine.onBytes(1, bytes("id: 1\ndata: a\n\nid: 2\nda"));
        machine.onEnd(1, BodyEnd.LAST_CHUNK);
        assertTrue(effects.lines.contains("cut"));
        assertFalse(effects.lines.contains("end"));
    }

    @Test
    public void aStreamIsNeverResumedWithAnotherWeightVersion() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 3);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        machine.onBytes(1, bytes("id: 1\ndata: a\n\n"));
        machine.onFailure(1, End.BROKEN, "reset");
        machine.onPlacementDecision(placed("e2"));
        machine.onHead(
                2,
                new EndpointAnswerHead(200, true, true, false, false, false, OptionalLong.of(2), EndpointNotice.NONE));
        machine.onBytes(2, bytes("id: 2\ndata: other\n\n"));
        assertFalse(effects.callerBody.toString().contains("other"));
    }

    // The connection to the engine stays open but delivers no more bytes and no error. Without a timeout the caller
    // would wait for the rest of the answer until its own timeout.
    @Test
    public void aStreamThatPausesForTooLongIsContinuedElsewhere() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        machine.onBytes(1, bytes("id: 1\ndata: a\n\n"));
        effects.advance(Duration.ofMillis(700));
        machine.onTimer(TimerKind.GAP, 1);
        assertTrue(effects.lines.contains("place REPEAT without [e1] version 1"));
        machine.onPlacementDecision(placed("e2"));
        machine.onDelivery(2);
        machine.onTimer(TimerKind.OVERLAP, 2);
        assertEquals(effects.attempts, ImmutableList.of(End.SILENT));
        assertTrue(effects.lines.contains("abandon leg 1"), effects.lines.toString());
        machine.onHead(2, ok());
        machine.onBytes(2, bytes("id: 2\ndata: b\n\n"));
        machine.onEnd(2, BodyEnd.LAST_CHUNK);
        assertEquals(effects.callerBody.toString(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    }

    @Test
    public void aStreamThatMakesProgressIsNotInterrupted() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onHead(1, ok());
        effects.advance(Duration.ofMillis(500));
        machine.onBytes(1, bytes("id: 1\ndata: a\n\n"));
        effects.advance(Duration.ofMillis(200));
        machine.onTimer(TimerKind.GAP, 1);
        assertTrue(effects.attempts.isEmpty());
    }

    // ---- Deadlines and disconnected callers

    @Test
    public void atItsDeadlineARequestThatWasSentIsNotReportedAsNotRun() {
        ForwardMachine machine = begin(RouteKind.NON_IDEMPOTENT, false, 1);
        machine.onPlacementDecision(placed("e1"));
        machine.onTimer(TimerKind.DEADLINE, 0);
        assertEquals(effects.error, ErrorKind.DEADLINE_PASSED);
        assertTrue(effects.lines.contains("abandon leg 1"));
    }

    @Test
    public void atItsDeadlineARequestThatWasNeverSentIsReportedAsNotRun() {
        ForwardMachine machine = begin(RouteKind.NON_IDEMPOTENT, false, 1);
        machine.onTimer(TimerKind.DEADLINE, 0);
        assertEquals(effects.error.ran(), ErrorKind.Ran.NOT_RUN);
    }

    @Test
    public void theAttemptOfACallerThatDisconnectedIsAbandonedImmediately() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlacementDecision(placed("e1"));
        machine.onCallerDisconnected();
        assertTrue(effects.lines.contains("abandon leg 1"));
        assertEquals(effects.attempts, ImmutableList.of(End.LEFT));
        machine.onFailure(1, End.BROKEN, "late");
        assertEquals(effects.ends, 1);
    }

    @Test
    public void aPlacementThatArrivesAfterTheEndIsReleased() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onCallerDisconnected();
        machine.onPlacementDecision(placed("e1"));
        assertEquals(effects.attempts, ImmutableList.of(End.LEFT));
    }

    @Test
    public void aRepeatableRequestWithoutAnAnswerIsRetriedElsewhereInTime() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlacementDecision(placed("e1"));
        effects.advance(Duration.ofMillis(400));
        machine.onTimer(TimerKind.HEAD, 1);
        assertTrue(effects.lines.contains("place REPEAT without [e1]"), effects.lines.toString());
    }
}
