package org.yuccagw.core.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.core.admission.AdmissionRequested;
import org.yuccagw.core.claim.Claim;
import org.yuccagw.core.claim.ClaimDecision;
import org.yuccagw.core.claim.ClaimEnded;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.IdempotencyKey;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.VmId;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.core.quarantine.EndpointDied;
import org.yuccagw.core.quarantine.PromptFingerprint;
import org.yuccagw.core.quarantine.QuarantineRequested;
import org.yuccagw.core.routing.AttemptReport;
import org.yuccagw.core.routing.RouteExplanation;
import org.yuccagw.core.routing.RouteRequested;

public class RequestMachineTest {
    private RecordedEffects effects;

    @BeforeMethod
    public void freshEffects() {
        effects = new RecordedEffects();
    }

    // ---- The usual way.

    @Test
    public void aRequestGoesThroughAdmissionQuarantineAndRouteToItsEnd() {
        RequestMachine machine = streaming(true, false);
        machine.onHead(1, head("s1", "v1"));
        machine.onPiece(1, 1, "a ");
        machine.onPiece(1, 2, "b ");
        machine.onUsage(1, new Usage(10, 2, 8, "stop"));
        machine.onDone(1);
        assertEquals(
                effects.lines,
                ImmutableList.of(
                        "timer DEADLINE",
                        "admission?",
                        "quarantine?",
                        "route? version any without []",
                        "send leg 1 to e1 after ''",
                        "head",
                        "piece 1",
                        "piece 2",
                        "end",
                        "over"));
        assertEquals(effects.reports(AdmissionRequested.Released.class).size(), 1);
        assertTrue(effects.reports(AttemptReport.Ended.class).get(0).answered());
    }

    // ---- Whole answers.

    // The connection to the engine falls silent in mid-answer while new connections work: something between the two
    // ends lost track of it. The user would see the answer stop. The stream is read on over a new connection.
    @Test
    public void aSilentStreamIsReadOnOverANewConnection() {
        RequestMachine machine = streaming(false, true);
        machine.onHead(1, head("s1", "v1"));
        machine.onPiece(1, 1, "a ");
        machine.onFailure(1, AttemptFailure.SILENT, "silent");
        machine.onHead(2, head("s1", "v1"));
        machine.onPiece(2, 2, "b ");
        machine.onUsage(2, new Usage(10, 2, 0, "stop"));
        machine.onDone(2);
        assertTrue(effects.lines.contains("resume leg 2 at e1 stream s1 from 1"));
        assertEquals(effects.callerText.toString(), "a b ");
        assertEquals(effects.ends, 1);
    }

    // After the new connection stands, bytes of the abandoned one still arrive, and the engine repeats a piece.
    // The user would see words twice. Pieces of an old leg and pieces already sent are dropped.
    @Test
    public void latePiecesOfAnAbandonedConnectionNeverReachTheCaller() {
        RequestMachine machine = streaming(true, false);
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

    // A piece is missing between two others. The user would get an answer with a hole that looks whole.
    @Test
    public void aGapBetweenPiecesIsReadAgainInsteadOfPassedOn() {
        RequestMachine machine = streaming(true, false);
        machine.onHead(1, head("s1", "v1"));
        machine.onPiece(1, 1, "a ");
        machine.onPiece(1, 3, "c ");
        assertTrue(effects.lines.contains("resume leg 2 at e1 stream s1 from 1"));
        assertEquals(effects.callerText.toString(), "a ");
    }

    // The engine dies in mid-answer of an idempotent request: the resume finds nobody listening. The run goes on at
    // another engine from the text so far, on the same weight version, and the caller sees one answer.
    @Test
    public void anIdempotentAnswerGoesOnElsewhereWhenItsEngineDied() {
        RequestMachine machine = streaming(true, false);
        machine.onHead(1, head("s1", "v1"));
        machine.onPiece(1, 1, "a ");
        machine.onFailure(1, AttemptFailure.BROKEN, "reset");
        machine.onFailure(2, AttemptFailure.CONNECT_FAILED, "refused");
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 3);
        machine.onVerdict(new QuarantineRequested.Verdict.Free());
        assertTrue(effects.lines.contains("route? version v1 without [e1]"));
        machine.onRoute(chosen("e2", 2));
        assertTrue(effects.lines.contains("send leg 4 to e2 after 'a '"));
        machine.onHead(4, head("s9", "v1"));
        machine.onPiece(4, 1, "b ");
        machine.onUsage(4, new Usage(11, 1, 0, "stop"));
        machine.onDone(4);
        assertEquals(effects.callerText.toString(), "a b ");
        assertEquals(effects.reports(EndpointDied.class).size(), 1);
    }

    // The continued run lands on an engine that meanwhile swapped to other weights. The user would get an answer that
    // two versions wrote. The engine's head gives it away before any of its pieces is passed on.
    @Test
    public void anAnswerNeverMixesWeightVersions() {
        RequestMachine machine = streaming(true, false);
        machine.onHead(1, head("s1", "v1"));
        machine.onPiece(1, 1, "a ");
        machine.onFailure(1, AttemptFailure.BROKEN, "reset");
        machine.onFailure(2, AttemptFailure.STREAM_FORGOTTEN, "gone");
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 3);
        machine.onVerdict(new QuarantineRequested.Verdict.Free());
        machine.onRoute(chosen("e2", 2));
        machine.onHead(4, head("s9", "v2"));
        machine.onPiece(4, 1, "wrong ");
        assertTrue(effects.lines.contains("cancel s9 after 0 ms"));
        assertEquals(effects.callerText.toString(), "a ");
    }

    // An engine dies in mid-answer behind something that still accepts connections and then closes them. No connection
    // is ever refused, so the death went uncounted, and a prompt that ends engines ran on a third one. Once resuming
    // has
    // come to nothing the engine is asked whether it lives.
    @Test
    public void aDeathBehindSomethingThatAcceptsConnectionsIsCounted() {
        RequestMachine machine = streaming(true, false);
        machine.onHead(1, head("s1", "v1"));
        machine.onFailure(1, AttemptFailure.BROKEN, "reset");
        machine.onFailure(2, AttemptFailure.BROKEN, "reset");
        machine.onFailure(3, AttemptFailure.BROKEN, "reset");
        assertTrue(effects.lines.contains("probe e1"));
        machine.onProbed(3, false);
        assertEquals(effects.reports(EndpointDied.class).size(), 1);
    }

    // The engine died in mid-answer, and the owner of permits is new and grants none for some seconds. The caller has a
    // part of its answer; the run waits for the permit instead of ending with an error.
    @Test
    public void aRunThatHasBegunWaitsForThePermitOfItsNextAttempt() {
        RequestMachine machine = streaming(true, false);
        machine.onHead(1, head("s1", "v1"));
        machine.onPiece(1, 1, "a ");
        machine.onFailure(1, AttemptFailure.BROKEN, "reset");
        machine.onFailure(2, AttemptFailure.CONNECT_FAILED, "refused");
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 3);
        machine.onVerdict(new QuarantineRequested.Verdict.Refused(
                ErrorKind.OVERLOADED.raise(1_000).withRetryAfter(Duration.ofSeconds(1))));
        assertFalse(machine.isOver());
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 4);
        machine.onVerdict(new QuarantineRequested.Verdict.Alone(9));
        machine.onRoute(chosen("e2", 2));
        assertTrue(effects.lines.contains("send leg 5 to e2 after 'a '"));
    }

    @Test
    public void anAnswerThatEndsWithoutItsLastChunkIsNotWhole() {
        RequestMachine machine = streaming(true, false);
        machine.onHead(1, head("s1", "v1"));
        machine.onPiece(1, 1, "a ");
        machine.onDone(1);
        assertFalse(effects.lines.contains("end"));
    }

    // ---- At most once.

    // The connection breaks after a keyed, non-idempotent request was sent and before any answer. It may have run.
    // Sending it to another endpoint could bill twice, so the caller is told that it may have run.
    @Test
    public void aNonIdempotentRequestThatMayHaveRunIsNeverSentAgain() {
        RequestMachine machine = streaming(false, true);
        machine.onFailure(1, AttemptFailure.BROKEN, "reset");
        machine.onProbed(1, true);
        assertEquals(effects.error.kind().ran(), ErrorKind.Ran.MAY_HAVE_RUN);
        assertEquals(effects.reports(ClaimEnded.class).get(0).outcome(), ClaimEnded.Outcome.UNKNOWN);
        assertEquals(
                effects.lines.stream().filter(line -> line.startsWith("send")).count(), 1);
    }

    @Test
    public void aNonIdempotentRequestGoesElsewhereWhenNothingWasSent() {
        RequestMachine machine = streaming(false, true);
        machine.onFailure(1, AttemptFailure.CONNECT_FAILED, "refused");
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 2);
        assertEquals(effects.lines.get(effects.lines.size() - 1), "quarantine?");
    }

    // The first attempt of an idempotent request may have run; the second is refused for want of room. The last
    // failure alone would say "not run", which would be a lie about the first.
    @Test
    public void aRefusalAfterAnAttemptThatMayHaveRunDoesNotSayNotRun() {
        RequestMachine machine = streaming(true, false);
        machine.onFailure(1, AttemptFailure.BROKEN, "reset");
        machine.onProbed(1, true);
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 2);
        machine.onVerdict(new QuarantineRequested.Verdict.Free());
        machine.onRoute(new RouteRequested.Answer.Refused(ErrorKind.NO_ENDPOINT.raise("assistant")));
        assertEquals(effects.error.kind().ran(), ErrorKind.Ran.MAY_HAVE_RUN);
    }

    // An engine dies in mid-answer, and the next attempt is refused because its prompt must run alone and may not now.
    // The user has read words of an answer whose error then says that nothing ran, and asks for it once more.
    @Test
    public void aQuarantineRefusalAfterAnAttemptThatMayHaveRunDoesNotSayNotRun() {
        RequestMachine machine = streaming(true, false);
        machine.onHead(1, head("s1", "v1"));
        machine.onPiece(1, 1, "a ");
        machine.onFailure(1, AttemptFailure.BROKEN, "reset");
        machine.onFailure(2, AttemptFailure.CONNECT_FAILED, "refused");
        machine.onTimer(RequestMachine.TimerKind.BACKOFF, 3);
        machine.onVerdict(new QuarantineRequested.Verdict.Refused(ErrorKind.OVERLOADED.raise(2_000)));
        assertEquals(effects.error.kind().ran(), ErrorKind.Ran.MAY_HAVE_RUN);
    }

    // The claim is granted only after the caller's deadline has passed and it was told "not run". Nothing was sent, so
    // the claim is given back, and the key can be used again.
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

    @Test
    public void aRepeatedKeyFollowsTheRunInProgress() {
        RequestMachine machine = machine(false, true);
        machine.begin();
        machine.onAdmitted(Optional.empty());
        machine.onClaim(new ClaimDecision.Running(EntryId.of("entry-2"), RequestId.of("r0")));
        assertTrue(effects.lines.contains("follow r0 at entry-2"));
        assertEquals(effects.reports(AdmissionRequested.Released.class).size(), 1);
    }

    // While a swap rolls fast, every replica seems to load for a moment, because reports lag. The user would be refused
    // although replicas serve. The request asks again a few times; a pool that stays empty is a final refusal, not run.
    @Test
    public void aMomentWithoutEndpointsIsBridgedAndALongerOneRefused() {
        RequestMachine machine = machine(true, false);
        machine.begin();
        machine.onAdmitted(Optional.empty());
        int asked = 0;
        while (!machine.isOver()) {
            machine.onVerdict(new QuarantineRequested.Verdict.Free());
            machine.onRoute(new RouteRequested.Answer.Refused(ErrorKind.NO_ENDPOINT.raise("assistant")));
            asked++;
            machine.onTimer(RequestMachine.TimerKind.BACKOFF, asked);
        }
        assertEquals(asked, 9);
        assertEquals(effects.error.kind(), ErrorKind.NO_ENDPOINT);
        assertEquals(effects.ends, 1);
    }

    // ---- Callers who leave.

    @Test
    public void theStreamOfACallerWhoLeftWaitsItsGraceTime() {
        RequestMachine machine = streaming(true, false);
        machine.onHead(1, head("s1", "v1"));
        machine.onCallerLeft();
        assertTrue(effects.lines.contains("cancel s1 after 20000 ms"));
        assertTrue(machine.isOver());
    }

    @Test
    public void aKeyedRunGoesOnWhenItsCallerLeft() {
        RequestMachine machine = streaming(false, true);
        machine.onHead(1, head("s1", "v1"));
        machine.onCallerLeft();
        machine.onPiece(1, 1, "a ");
        machine.onUsage(1, new Usage(1, 1, 0, "stop"));
        machine.onDone(1);
        assertEquals(effects.reports(ClaimEnded.class).get(0).outcome(), ClaimEnded.Outcome.ANSWERED);
    }

    @Test
    public void anAdmissionThatComesAfterTheCallerLeftIsGivenBack() {
        RequestMachine machine = machine(true, false);
        machine.begin();
        machine.onCallerLeft();
        machine.onAdmitted(Optional.empty());
        assertEquals(effects.reports(AdmissionRequested.Withdrawn.class).size(), 1);
        assertEquals(effects.reports(AdmissionRequested.Released.class).size(), 1);
    }

    @Test
    public void aPlaceOnAnEndpointThatComesAfterTheEndIsGivenBack() {
        RequestMachine machine = machine(true, false);
        machine.begin();
        machine.onAdmitted(Optional.empty());
        machine.onVerdict(new QuarantineRequested.Verdict.Free());
        machine.onTimer(RequestMachine.TimerKind.DEADLINE, 0);
        machine.onRoute(chosen("e1", 7));
        assertEquals(effects.reports(AttemptReport.Ended.class).get(0).attempt(), 7);
    }

    // ---- Helpers.

    private RequestMachine streaming(boolean idempotent, boolean keyed) {
        RequestMachine machine = machine(idempotent, keyed);
        machine.begin();
        machine.onAdmitted(Optional.empty());
        if (keyed) {
            machine.onClaim(new ClaimDecision.Granted());
        }
        machine.onVerdict(new QuarantineRequested.Verdict.Free());
        machine.onRoute(chosen("e1", 1));
        return machine;
    }

    private RequestMachine machine(boolean idempotent, boolean keyed) {
        WorkspaceId workspace = WorkspaceId.of("w");
        RequestId request = RequestId.of("r1");
        Optional<Claim> claim = keyed
                ? Optional.of(new Claim(workspace, IdempotencyKey.of("k"), "00", request, EntryId.of("entry-1")))
                : Optional.empty();
        RequestProfile profile = new RequestProfile(
                request,
                workspace,
                ServiceName.of("assistant"),
                true,
                idempotent,
                true,
                claim,
                PromptFingerprint.of(workspace, new byte[] {1}),
                Duration.ofSeconds(60),
                Duration.ofSeconds(20),
                Optional.empty());
        return RequestMachine.of(profile, effects);
    }

    private static RouteRequested.Answer chosen(String endpoint, long attempt) {
        EndpointStatus status = new EndpointStatus(
                EndpointId.of(endpoint),
                VmId.of("vm-" + endpoint),
                1,
                "pool",
                NetworkAddress.of("127.0.0.1", 9),
                FailureDomain.of("d1"),
                true,
                Optional.of(WeightVersion.of("v1")));
        return new RouteRequested.Answer.Chosen(
                attempt, status, Optional.empty(), new RouteExplanation("test", ImmutableList.of()));
    }

    private static AnswerHead head(String stream, String version) {
        return new AnswerHead(200, stream, version, ImmutableMap.of());
    }
}
