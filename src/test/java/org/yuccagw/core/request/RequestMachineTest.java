package org.yuccagw.core.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.yuccagw.core.request.TestRequests.chosen;
import static org.yuccagw.core.request.TestRequests.head;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.core.admission.AdmissionRequested;
import org.yuccagw.core.claim.ClaimDecision;
import org.yuccagw.core.claim.ClaimEnded;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.quarantine.EndpointTerminated;
import org.yuccagw.core.quarantine.QuarantineRequested;
import org.yuccagw.core.routing.AttemptReport;
import org.yuccagw.core.routing.RouteRequested;
import org.yuccagw.core.suspect.PromptAnswered;

public class RequestMachineTest {
    private RecordedEffects effects;

    @BeforeMethod
    public void createEffects() {
        effects = new RecordedEffects();
    }

    // ---- The usual sequence.

    @Test
    public void aRequestPassesAdmissionQuarantineAndRoutingUntilItsEnd() {
        RequestMachine machine = sentRequest(true, false);
        machine.onHead(1, head("s1", "v1"));
        machine.onPiece(1, 1, "a ");
        machine.onPiece(1, 2, "b ");
        machine.onUsage(1, new Usage(10, 2, 8, "stop"));
        machine.onDone(1);
        assertEquals(
                effects.lines,
                ImmutableList.of(
                        "timer DEADLINE",
                        "request admission",
                        "request quarantine decision",
                        "request route with version any excluding []",
                        "send leg 1 to e1 after ''",
                        "head",
                        "piece 1",
                        "piece 2",
                        "end",
                        "ended"));
        assertEquals(effects.reports(AdmissionRequested.Released.class).size(), 1);
        assertTrue(effects.reports(AttemptReport.Ended.class).get(0).answered());
        assertEquals(effects.reports(PromptAnswered.class), List.of(new PromptAnswered(TestRequests.PARTS)));
    }

    // ---- Complete answers.

    // The connection to the engine falls silent during the answer while new connections work, because an intermediary
    // has lost its state. The user would see the answer stop. The stream is resumed over a new connection.
    @Test
    public void aSilentStreamIsResumedOverANewConnection() {
        RequestMachine machine = sentRequest(false, true);
        machine.onHead(1, head("s1", "v1"));
        machine.onPiece(1, 1, "a ");
        machine.onFailure(1, AttemptFailure.SILENT, "silent");
        machine.onHead(2, head("s1", "v1"));
        machine.onPiece(2, 2, "b ");
        machine.onUsage(2, new Usage(10, 2, 0, "stop"));
        machine.onDone(2);
        assertTrue(effects.lines.contains("resume leg 2 on e1 stream s1 from 1"));
        assertEquals(effects.callerText.toString(), "a b ");
        assertEquals(effects.ends, 1);
    }

    // After the new connection is established, bytes of the abandoned one still arrive, and the engine sends a piece
    // again. The user would see words twice. Pieces of an earlier leg and pieces that were already sent are dropped.
    @Test
    public void latePiecesOfAnAbandonedConnectionNeverReachTheCaller() {
        RequestMachine machine = sentRequest(true, false);
        machine.onHead(1, head("s1", "v1"));
        machine.onPiece(1, 1, "a ");
        machine.onFailure(1, AttemptFailure.SILENT, "silent");
        machine.onPiece(1, 2, "late ");
        machine.onDone(1);
        machine.onHead(2, head("s1", "v1"));
        machine.onPiece(2, 1, "a ");
        machine.onPiece(2, 2, "b ");
        assertEquals(effects.callerText.toString(), "a b ");
        assertFalse(machine.isOver());
    }

    // A piece is missing between two others. The user would receive an incomplete answer without an error.
    @Test
    public void aStreamWithAGapBetweenPiecesIsResumedBeforeTheGap() {
        RequestMachine machine = sentRequest(true, false);
        machine.onHead(1, head("s1", "v1"));
        machine.onPiece(1, 1, "a ");
        machine.onPiece(1, 3, "c ");
        assertTrue(effects.lines.contains("resume leg 2 on e1 stream s1 from 1"));
        assertEquals(effects.callerText.toString(), "a ");
    }

    // The engine terminates during the answer to an idempotent request, and the resume is refused a connection. The run
    // continues on another engine of the same weight version from the text so far, and the caller receives one answer.
    @Test
    public void anIdempotentAnswerContinuesOnAnotherEngineWhenItsEngineTerminated() {
        RequestMachine machine = sentRequest(true, false);
        machine.onHead(1, head("s1", "v1"));
        machine.onPiece(1, 1, "a ");
        machine.onFailure(1, AttemptFailure.BROKEN, "reset");
        machine.onFailure(2, AttemptFailure.CONNECT_FAILED, "refused");
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 3);
        machine.onQuarantineDecision(new QuarantineRequested.Decision.Unrestricted());
        assertTrue(effects.lines.contains("request route with version v1 excluding [e1]"));
        machine.onRoute(chosen("e2", 2));
        assertTrue(effects.lines.contains("send leg 4 to e2 after 'a '"));
        machine.onHead(4, head("s9", "v1"));
        machine.onPiece(4, 1, "b ");
        machine.onUsage(4, new Usage(11, 1, 0, "stop"));
        machine.onDone(4);
        assertEquals(effects.callerText.toString(), "a b ");
        assertEquals(effects.reports(EndpointTerminated.class).size(), 1);
        assertEquals(effects.reports(EndpointTerminated.class).get(0).parts(), TestRequests.PARTS);
    }

    // The run continues on an engine that has been swapped to other weights in the meantime. The user would receive an
    // answer from two versions. The head of the engine's answer shows its version before any of its pieces is sent.
    @Test
    public void anAnswerNeverMixesWeightVersions() {
        RequestMachine machine = sentRequest(true, false);
        machine.onHead(1, head("s1", "v1"));
        machine.onPiece(1, 1, "a ");
        machine.onFailure(1, AttemptFailure.BROKEN, "reset");
        machine.onFailure(2, AttemptFailure.STREAM_FORGOTTEN, "unknown stream");
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 3);
        machine.onQuarantineDecision(new QuarantineRequested.Decision.Unrestricted());
        machine.onRoute(chosen("e2", 2));
        machine.onHead(4, head("s9", "v2"));
        machine.onPiece(4, 1, "wrong ");
        assertTrue(effects.lines.contains("cancel s9 after 0 ms"));
        assertEquals(effects.callerText.toString(), "a ");
    }

    // An engine terminates during the answer behind an intermediary that still accepts connections and then closes
    // them. No connection is ever refused, so the termination was not counted, and a prompt that terminates engines ran
    // on a third one. After the resumes have failed, the engine is probed.
    @Test
    public void aTerminationBehindAnIntermediaryThatAcceptsConnectionsIsCounted() {
        RequestMachine machine = sentRequest(true, false);
        machine.onHead(1, head("s1", "v1"));
        machine.onFailure(1, AttemptFailure.BROKEN, "reset");
        machine.onFailure(2, AttemptFailure.BROKEN, "reset");
        machine.onFailure(3, AttemptFailure.BROKEN, "reset");
        assertTrue(effects.lines.contains("probe e1"));
        machine.onProbed(3, false);
        assertEquals(effects.reports(EndpointTerminated.class).size(), 1);
    }

    // The engine terminated during the answer, and the owner of the prompt's shard is new and grants no permits for
    // some seconds. The caller has received a part of its answer, so the run waits for the permit instead of ending
    // with an error.
    @Test
    public void aRunThatHasStartedWaitsForThePermitOfItsNextAttempt() {
        RequestMachine machine = sentRequest(true, false);
        machine.onHead(1, head("s1", "v1"));
        machine.onPiece(1, 1, "a ");
        machine.onFailure(1, AttemptFailure.BROKEN, "reset");
        machine.onFailure(2, AttemptFailure.CONNECT_FAILED, "refused");
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 3);
        machine.onQuarantineDecision(new QuarantineRequested.Decision.Refused(
                ErrorKind.OVERLOADED.raise(1_000).withRetryAfter(Duration.ofSeconds(1))));
        assertFalse(machine.isOver());
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 4);
        machine.onQuarantineDecision(new QuarantineRequested.Decision.Isolated(9));
        machine.onRoute(chosen("e2", 2));
        assertTrue(effects.lines.contains("send leg 5 to e2 after 'a '"));
    }

    @Test
    public void anAnswerThatEndsWithoutItsLastChunkIsIncomplete() {
        RequestMachine machine = sentRequest(true, false);
        machine.onHead(1, head("s1", "v1"));
        machine.onPiece(1, 1, "a ");
        machine.onDone(1);
        assertFalse(effects.lines.contains("end"));
    }

    // ---- At-most-once execution.

    // The connection breaks after a non-idempotent request with an idempotency key was sent and before any answer. The
    // request may have run, and a retry on another endpoint could bill twice, so the caller is informed that it may
    // have run.
    @Test
    public void aNonIdempotentRequestThatMayHaveRunIsNeverRetried() {
        RequestMachine machine = sentRequest(false, true);
        machine.onFailure(1, AttemptFailure.BROKEN, "reset");
        machine.onProbed(1, true);
        assertEquals(effects.error.kind().ran(), ErrorKind.Ran.MAY_HAVE_RUN);
        assertEquals(effects.reports(ClaimEnded.class).get(0).outcome(), ClaimEnded.Outcome.UNKNOWN);
        assertEquals(
                effects.lines.stream().filter(line -> line.startsWith("send")).count(), 1);
    }

    @Test
    public void aNonIdempotentRequestIsRetriedOnAnotherEndpointWhenNothingWasSent() {
        RequestMachine machine = sentRequest(false, true);
        machine.onFailure(1, AttemptFailure.CONNECT_FAILED, "refused");
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 2);
        assertEquals(effects.lines.get(effects.lines.size() - 1), "request quarantine decision");
    }

    // The first attempt of an idempotent request may have run, and the second is refused because no endpoint has free
    // capacity. The second failure alone means that nothing ran, which may be false for the first attempt.
    @Test
    public void aRefusalAfterAnAttemptThatMayHaveRunIsNotReportedAsNotRun() {
        RequestMachine machine = sentRequest(true, false);
        machine.onFailure(1, AttemptFailure.BROKEN, "reset");
        machine.onProbed(1, true);
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 2);
        machine.onQuarantineDecision(new QuarantineRequested.Decision.Unrestricted());
        machine.onRoute(new RouteRequested.Answer.Refused(ErrorKind.NO_ENDPOINT.raise("assistant")));
        assertEquals(effects.error.kind().ran(), ErrorKind.Ran.MAY_HAVE_RUN);
    }

    // An engine terminates during the answer, and the next attempt is refused because its prompt must run isolated and
    // the permit is not available. The user, who has read a part of the answer, would be informed that nothing ran, and
    // would send the request again.
    @Test
    public void aQuarantineRefusalAfterAnAttemptThatMayHaveRunIsNotReportedAsNotRun() {
        RequestMachine machine = sentRequest(true, false);
        machine.onHead(1, head("s1", "v1"));
        machine.onPiece(1, 1, "a ");
        machine.onFailure(1, AttemptFailure.BROKEN, "reset");
        machine.onFailure(2, AttemptFailure.CONNECT_FAILED, "refused");
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 3);
        machine.onQuarantineDecision(new QuarantineRequested.Decision.Refused(ErrorKind.OVERLOADED.raise(2_000)));
        assertEquals(effects.error.kind().ran(), ErrorKind.Ran.MAY_HAVE_RUN);
    }

    // The claim is granted after the deadline has passed and the request was refused as not run. Nothing was sent, so
    // the claim is released, and the key can be used again.
    @Test
    public void aClaimGrantedAfterTheDeadlineIsReleasedAsNotSent() {
        RequestMachine machine = machine(false, true);
        machine.begin();
        machine.onAdmitted(Optional.empty());
        machine.onTimer(RequestMachine.TimerKind.DEADLINE, 0);
        assertEquals(effects.error.kind().ran(), ErrorKind.Ran.NOT_RUN);
        machine.onClaim(new ClaimDecision.Granted());
        assertEquals(effects.reports(ClaimEnded.class).get(0).outcome(), ClaimEnded.Outcome.NOT_SENT);
    }

    // Guards against "not run" for a key whose earlier attempt may have run, when the claim isn't decided in time.
    @Test
    public void aDeadlineBeforeTheClaimIsDecidedDoesNotDenyAnEarlierRun() {
        RequestMachine machine = machine(false, true);
        machine.begin();
        machine.onAdmitted(Optional.empty());
        machine.onTimer(RequestMachine.TimerKind.DEADLINE, 0);
        assertEquals(effects.error.ran(), ErrorKind.Ran.MAY_HAVE_RUN);
    }

    // Guards against "not run" for a key whose earlier attempt ran, when admission refuses the repeat.
    @Test
    public void aRepeatThatAdmissionRefusesIsAnsweredByTheRecordOfItsKey() {
        RequestMachine machine = machine(false, true);
        machine.begin();
        machine.onAdmitted(Optional.of(ErrorKind.WORKSPACE_LIMIT.raise("w", "requests")));
        machine.onClaimLookup(new ClaimDecision.Refused(ErrorKind.OUTCOME_UNKNOWN.raise()));
        assertEquals(effects.error.kind(), ErrorKind.OUTCOME_UNKNOWN);
    }

    @Test
    public void aRefusalOfAdmissionSaysNotRunOnlyIfTheKeyHasNoRecord() {
        assertEquals(ranAfterLookup(new ClaimDecision.Unclaimed()), ErrorKind.Ran.NOT_RUN);
        YuccagwException undecided =
                ErrorKind.CLAIM_UNAVAILABLE.raise("no owner").mayHaveRunBefore();
        assertEquals(ranAfterLookup(new ClaimDecision.Refused(undecided)), ErrorKind.Ran.MAY_HAVE_RUN);
    }

    private ErrorKind.Ran ranAfterLookup(ClaimDecision decision) {
        RequestMachine machine = machine(false, true);
        machine.begin();
        machine.onAdmitted(Optional.of(ErrorKind.WORKSPACE_LIMIT.raise("w", "requests")));
        machine.onClaimLookup(decision);
        assertEquals(effects.error.kind(), ErrorKind.WORKSPACE_LIMIT);
        return effects.error.ran();
    }

    @Test
    public void aRetryWithTheSameKeyFollowsTheRunInProgress() {
        RequestMachine machine = machine(false, true);
        machine.begin();
        machine.onAdmitted(Optional.empty());
        machine.onClaim(new ClaimDecision.Running(EntryId.of("entry-2"), RequestId.of("r0")));
        assertTrue(effects.lines.contains("follow r0 on entry-2"));
        assertEquals(effects.reports(AdmissionRequested.Released.class).size(), 1);
    }

    // During a fast rolling swap every replica is seen as loading for a short time, because the reports are delayed.
    // The user would be refused although replicas serve. The request is retried a few times; if the pool remains empty,
    // the refusal as not run is final.
    @Test
    public void aRequestWithoutEndpointsIsRetriedForAShortTimeAndThenRefused() {
        RequestMachine machine = machine(true, false);
        machine.begin();
        machine.onAdmitted(Optional.empty());
        int refusals = 0;
        while (!machine.isOver()) {
            machine.onQuarantineDecision(new QuarantineRequested.Decision.Unrestricted());
            machine.onRoute(new RouteRequested.Answer.Refused(ErrorKind.NO_ENDPOINT.raise("assistant")));
            refusals++;
            machine.onTimer(RequestMachine.TimerKind.BACKOFF, refusals);
        }
        assertEquals(refusals, 9);
        assertEquals(effects.error.kind(), ErrorKind.NO_ENDPOINT);
        assertEquals(effects.ends, 1);
    }

    // ---- Callers that disconnect.

    @Test
    public void theStreamOfADisconnectedCallerIsRetainedForTheGraceTime() {
        RequestMachine machine = sentRequest(true, false);
        machine.onHead(1, head("s1", "v1"));
        machine.onCallerDisconnected();
        assertTrue(effects.lines.contains("cancel s1 after 20000 ms"));
        assertTrue(machine.isOver());
    }

    @Test
    public void aRunWithAnIdempotencyKeyContinuesWhenItsCallerDisconnects() {
        RequestMachine machine = sentRequest(false, true);
        machine.onHead(1, head("s1", "v1"));
        machine.onCallerDisconnected();
        machine.onPiece(1, 1, "a ");
        machine.onUsage(1, new Usage(1, 1, 0, "stop"));
        machine.onDone(1);
        assertEquals(effects.reports(ClaimEnded.class).get(0).outcome(), ClaimEnded.Outcome.ANSWERED);
    }

    @Test
    public void anAdmissionThatIsGrantedAfterTheCallerDisconnectedIsReleased() {
        RequestMachine machine = machine(true, false);
        machine.begin();
        machine.onCallerDisconnected();
        machine.onAdmitted(Optional.empty());
        assertEquals(effects.reports(AdmissionRequested.Withdrawn.class).size(), 1);
        assertEquals(effects.reports(AdmissionRequested.Released.class).size(), 1);
    }

    @Test
    public void aPlacementThatIsGrantedAfterTheEndIsReleased() {
        RequestMachine machine = machine(true, false);
        machine.begin();
        machine.onAdmitted(Optional.empty());
        machine.onQuarantineDecision(new QuarantineRequested.Decision.Unrestricted());
        machine.onTimer(RequestMachine.TimerKind.DEADLINE, 0);
        machine.onRoute(chosen("e1", 7));
        assertEquals(effects.reports(AttemptReport.Ended.class).get(0).attempt(), 7);
    }

    // ---- Helpers.

    private RequestMachine sentRequest(boolean idempotent, boolean keyed) {
        return TestRequests.sent(effects, idempotent, keyed);
    }

    private RequestMachine machine(boolean idempotent, boolean keyed) {
        return TestRequests.machine(effects, idempotent, keyed);
    }
}
