package org.yuccagw.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccagw.core.deployment.AllowedRegions;
import org.yuccagw.core.deployment.Route;
import org.yuccagw.core.deployment.RouteKind;
import org.yuccagw.core.deployment.ServiceShare;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.forward.ForwardMachine.TimerKind;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.notice.EndpointNotice;
import org.yuccagw.core.notice.NoticeReceived;
import org.yuccagw.core.notice.RateLimit;
import org.yuccagw.core.placing.AttemptEnded.End;
import org.yuccagw.core.placing.PlacementDecision;

public class ForwardMachineTest {
    private static final ServiceName SERVICE = ServiceName.of("service");
    private static final long FIRST_WEIGHTS = 1;
    private static final EndpointIncarnation FIRST_START = EndpointIncarnation.of(EndpointId.of("e1"), 1);

    private RecordedForwardEffects effects;
    private long tickets;

    @BeforeMethod
    public void freshEffects() {
        effects = new RecordedForwardEffects();
        tickets = 0;
    }

    // ---- The usual way.

    @Test
    public void anAnswerIsPassedOnAsItCame() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlaced(placed("e1"));
        machine.onHead(1, ok());
        machine.onBytes(1, bytes("body"));
        machine.onEnd(1);
        assertEquals(effects.lines.get(1), "send leg 1 to e1 left 800 after -1");
        assertEquals(effects.callerBody.toString(), "body");
        assertEquals(effects.attempts, ImmutableList.of(End.ANSWERED));
        assertEquals(effects.ends, 1);
    }

    @Test
    public void whatIsLeftOfTheTimeIsPassedOnToTheSecondAttempt() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlaced(placed("e1"));
        effects.pass(Duration.ofMillis(300));
        machine.onFailure(1, End.BROKEN, "reset");
        machine.onPlaced(placed("e2"));
        assertTrue(effects.lines.contains("send leg 2 to e2 left 500 after -1 fresh"), effects.lines.toString());
    }

    @Test
    public void theRateLimitThatAnAnswerNamesIsReportedOfTheEndpointThatSaidSo() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlaced(placed("e1"));
        machine.onHead(1, noticed(ok(), EndpointNotice.ofRateLimit(RateLimit.of(1.4))));
        assertEquals(
                effects.notices,
                ImmutableList.of(
                        new NoticeReceived(FIRST_START, EndpointNotice.ofRateLimit(RateLimit.of(1.4)), false)));
    }

    @Test
    public void anAnswerWithoutARateLimitIsReportedWhereOneWasKnown() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlaced(placed("e1"));
        machine.onHead(1, ok());
        machine.onEnd(1);
        assertEquals(effects.notices, ImmutableList.of());
        ForwardMachine second = begin(RouteKind.IDEMPOTENT, false, 2);
        second.onPlaced(placed("e1", true));
        second.onHead(1, ok());
        assertEquals(effects.notices, ImmutableList.of(new NoticeReceived(FIRST_START, EndpointNotice.NONE, true)));
    }

    // The answer is kept back for a second try, or the request goes elsewhere: what its head says still counts.
    @Test
    public void whatAnEndpointSaysOfItselfCountsInAnswersThatAreNotPassedOn() {
        EndpointNotice leaving = EndpointNotice.ofLeaving();
        EndpointNotice backOff = EndpointNotice.ofBackOff(Duration.ofSeconds(3));
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 3);
        machine.onPlaced(placed("e1"));
        machine.onHead(1, noticed(answer(500, true, true), leaving));
        machine.onPlaced(placed("e1"));
        machine.onHead(2, noticed(notRun(503), backOff));
        assertEquals(
                effects.notices,
                ImmutableList.of(
                        new NoticeReceived(FIRST_START, leaving, false),
                        new NoticeReceived(FIRST_START, backOff, false)));
    }

    // An endpoint that is full answers without looking at the request, so it can't name its id.
    @Test
    public void whatAnEndpointSaysOfItselfCountsInARefusalThatNamesNoRequest() {
        EndpointNotice backOff = EndpointNotice.ofBackOff(Duration.ofSeconds(3));
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 3);
        machine.onPlaced(placed("e1"));
        AnswerStart refusal =
                new AnswerStart(503, false, false, true, false, false, true, OptionalLong.empty(), backOff);
        machine.onHead(1, refusal);
        assertEquals(effects.notices, ImmutableList.of(new NoticeReceived(FIRST_START, backOff, false)));
    }

    @Test
    public void anAnswerOfAnotherEndpointSaysNothingOfTheLimitOfTheExpectedOne() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlaced(placed("e1"));
        machine.onHead(
                1,
                new AnswerStart(
                        421,
                        true,
                        false,
                        true,
                        true,
                        false,
                        true,
                        OptionalLong.empty(),
                        EndpointNotice.ofRateLimit(RateLimit.of(1.4))));
        assertEquals(effects.notices, ImmutableList.of());
    }

    // Others decide by what an engine has still to read; they have to hear when an answer has begun, once.
    @Test
    public void theBeginOfAStreamsAnswerIsToldOnce() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2);
        machine.onPlaced(placed("e1"));
        machine.onHead(1, ok());
        machine.onBytes(1, bytes("id: 1\n\n"));
        assertEquals(effects.begunTickets, ImmutableList.of(1L));
    }

    // ---- Not twice.

    // The connection breaks after a consent letter was sent. The endpoint may have sent it on. A second attempt would
    // ring the referee twice, and a status that promises "not run" would make the caller do the same.
    @Test
    public void aRequestThatMayHaveRunIsNeitherSentAgainNorCalledNotRun() {
        ForwardMachine machine = begin(RouteKind.NON_IDEMPOTENT, false, 2);
        machine.onPlaced(placed("e1"));
        machine.onFailure(1, End.BROKEN, "reset");
        assertEquals(effects.error, ErrorKind.ENDPOINT_FAILED);
        assertEquals(effects.error.ran(), ErrorKind.Ran.MAY_HAVE_RUN);
        assertEquals(effects.error.status(), 502);
    }

    @Test
    public void aRequestOfWhichNothingWasSentGoesElsewhereWhateverItsKind() {
        ForwardMachine machine = begin(RouteKind.NON_IDEMPOTENT, false, 1);
        machine.onPlaced(placed("e1"));
        machine.onFailure(1, End.UNREACHED, "refused");
        assertTrue(effects.lines.contains("place UNSENT without [e1]"), effects.lines.toString());
        machine.onPlaced(placed("e2"));
        machine.onHead(2, ok());
        machine.onEnd(2);
        assertEquals(effects.attempts, ImmutableList.of(End.UNREACHED, End.ANSWERED));
    }

    @Test
    public void aRequestThatAnEndpointSaysItDidNotRunGoesElsewhereFromTheBudget() {
        ForwardMachine machine = begin(RouteKind.NON_IDEMPOTENT, false, 1);
        machine.onPlaced(placed("e1"));
        machine.onHead(1, notRun(503));
        assertTrue(effects.lines.contains("place REPEAT without [e1]"), effects.lines.toString());
        machine.onPlaced(new PlacementDecision.Refused(ErrorKind.RETRY_BUDGET_SPENT.raise(SERVICE)));
        assertEquals(effects.error.ran(), ErrorKind.Ran.NOT_RUN);
    }

    // An endpoint answers 503 without saying that it did not run the request. Passed on, the status would promise just
    // that, and the caller would send a save again that has been carried out.
    @Test
    public void anEndpointsStatusThatPromisesTooMuchIsNotPassedOn() {
        ForwardMachine machine = begin(RouteKind.NON_IDEMPOTENT, false, 1);
        machine.onPlaced(placed("e1"));
        machine.onHead(1, answer(503, true, false));
        assertEquals(effects.error, ErrorKind.ENDPOINT_FAILED);
    }

    @Test
    public void aRequestThatIsNotRepeatableGoesOverAConnectionOfItsOwn() {
        begin(RouteKind.NON_IDEMPOTENT, false, 1).onPlaced(placed("e1"));
        assertTrue(effects.lines.get(1).endsWith("fresh"), effects.lines.toString());
    }

    @Test
    public void noMoreEndpointsRunARequestThanItsRouteAllows() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlaced(placed("e1"));
        machine.onFailure(1, End.BROKEN, "reset");
        machine.onPlaced(placed("e2"));
        machine.onFailure(2, End.BROKEN, "reset");
        assertEquals(effects.error, ErrorKind.ENDPOINT_FAILED);
        assertEquals(effects.attempts.size(), 2);
    }

    // ---- Whose answer it is.

    // A late answer to an earlier request sits on a kept connection. The caller would get somebody else's data.
    @Test
    public void anAnswerThatNamesAnotherRequestIsNeverPassedOn() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 1);
        machine.onPlaced(placed("e1"));
        machine.onHead(1, answer(200, false, true));
        machine.onBytes(1, bytes("somebody else's"));
        assertEquals(effects.callerBody.length(), 0);
        assertEquals(effects.attempts, ImmutableList.of(End.BROKEN));
    }

    @Test
    public void aSuccessWithoutTheEndpointsSealIsNoSuccess() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 1);
        machine.onPlaced(placed("e1"));
        machine.onHead(1, answer(200, true, false));
        assertEquals(effects.error, ErrorKind.ENDPOINT_FAILED);
    }

    @Test
    public void anAnswerThatBreaksOffIsCutAndNotEnded() {
        ForwardMachine machine = begin(RouteKind.NON_IDEMPOTENT, false, 1);
        machine.onPlaced(placed("e1"));
        machine.onHead(1, ok());
        machine.onBytes(1, bytes("half"));
        machine.onFailure(1, End.BROKEN, "reset");
        assertTrue(effects.lines.contains("cut"));
        assertFalse(effects.lines.contains("end"));
    }

    // The head of an answer says "not run" after the attempt was counted as over; reading the endpoint of the ended
    // attempt threw, and the caller waited for its whole time without an answer.
    @Test
    public void anAnswerThatSaysNotRunEndsTheAttemptOnce() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlaced(placed("e1"));
        machine.onHead(1, notRun(421));
        machine.onFailure(1, End.BROKEN, "late");
        assertEquals(effects.attempts, ImmutableList.of(End.WRONG_VERSION));
    }

    // ---- Faults kept back.

    @Test
    public void aFaultIsPassedOnWhenNoOtherEndpointMayTry() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlaced(placed("e1"));
        machine.onHead(1, answer(500, true, true));
        machine.onPlaced(new PlacementDecision.Refused(ErrorKind.RETRY_BUDGET_SPENT.raise(SERVICE)));
        machine.onBytes(1, bytes("why"));
        machine.onEnd(1);
        assertEquals(effects.callerBody.toString(), "why");
        assertEquals(effects.attempts, ImmutableList.of(End.FAULT));
    }

    @Test
    public void aFaultIsForgottenWhenAnotherEndpointAnswers() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlaced(placed("e1"));
        machine.onHead(1, answer(500, true, true));
        machine.onEnd(1);
        machine.onPlaced(placed("e2"));
        machine.onHead(2, ok());
        machine.onBytes(2, bytes("good"));
        machine.onEnd(2);
        assertEquals(effects.callerBody.toString(), "good");
        assertEquals(effects.ends, 1);
    }

    // ---- Streams.

    // The engine crashes in the middle of event 3. The user would read a torn word, or the same words twice. Events 1
    // and 2 went out whole; the stream goes on from another engine with the same weights after event 2.
    @Test
    public void aResumableStreamGoesOnAfterItsLastWholeEvent() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2);
        machine.onPlaced(placed("e1"));
        machine.onHead(1, ok());
        machine.onBytes(1, bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"));
        machine.onFailure(1, End.BROKEN, "reset");
        assertTrue(effects.lines.contains("place REPEAT without [e1] version 1"), effects.lines.toString());
        machine.onPlaced(placed("e2"));
        assertTrue(effects.lines.get(effects.lines.size() - 1).contains("after 2"));
        machine.onHead(2, ok());
        machine.onBytes(2, bytes("id: 3\ndata: c\n\n"));
        machine.onEnd(2);
        assertEquals(effects.callerBody.toString(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        assertEquals(
                effects.lines.stream().filter(line -> line.startsWith("head")).count(), 1);
    }

    @Test
    public void aStreamThatEndsInsideAnEventIsNotWhole() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 1);
        machine.onPlaced(placed("e1"));
        machine.onHead(1, ok());
        machine.onBytes(1, bytes("id: 1\ndata: a\n\nid: 2\nda"));
        machine.onEnd(1);
        assertTrue(effects.lines.contains("cut"));
        assertFalse(effects.lines.contains("end"));
    }

    @Test
    public void aStreamIsNeverResumedWithOtherWeights() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 3);
        machine.onPlaced(placed("e1"));
        machine.onHead(1, ok());
        machine.onBytes(1, bytes("id: 1\ndata: a\n\n"));
        machine.onFailure(1, End.BROKEN, "reset");
        machine.onPlaced(placed("e2"));
        machine.onHead(
                2,
                new AnswerStart(200, true, true, false, false, false, true, OptionalLong.of(2), EndpointNotice.NONE));
        machine.onBytes(2, bytes("id: 2\ndata: other\n\n"));
        assertFalse(effects.callerBody.toString().contains("other"));
    }

    // The connection to the engine falls silent for good and shows no error. The analyst would stare at half a
    // sentence until the browser gives up.
    @Test
    public void aStreamThatPausesForTooLongGoesOnElsewhere() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2);
        machine.onPlaced(placed("e1"));
        machine.onHead(1, ok());
        machine.onBytes(1, bytes("id: 1\ndata: a\n\n"));
        effects.pass(Duration.ofMillis(700));
        machine.onTimer(TimerKind.GAP, 1);
        assertEquals(effects.attempts, ImmutableList.of(End.SILENT));
        assertTrue(effects.lines.contains("place REPEAT without [e1] version 1"));
    }

    @Test
    public void aStreamThatMovesOnIsLeftAlone() {
        ForwardMachine machine = begin(RouteKind.STREAM, true, 2);
        machine.onPlaced(placed("e1"));
        machine.onHead(1, ok());
        effects.pass(Duration.ofMillis(500));
        machine.onBytes(1, bytes("id: 1\ndata: a\n\n"));
        effects.pass(Duration.ofMillis(200));
        machine.onTimer(TimerKind.GAP, 1);
        assertTrue(effects.attempts.isEmpty());
    }

    // ---- Time and leaving.

    @Test
    public void atTheEndOfItsTimeARequestThatWasSentIsNotCalledNotRun() {
        ForwardMachine machine = begin(RouteKind.NON_IDEMPOTENT, false, 1);
        machine.onPlaced(placed("e1"));
        machine.onTimer(TimerKind.DEADLINE, 0);
        assertEquals(effects.error, ErrorKind.DEADLINE_PASSED);
        assertTrue(effects.lines.contains("abandon leg 1"));
    }

    @Test
    public void atTheEndOfItsTimeARequestThatWasNeverSentIsCalledNotRun() {
        ForwardMachine machine = begin(RouteKind.NON_IDEMPOTENT, false, 1);
        machine.onTimer(TimerKind.DEADLINE, 0);
        assertEquals(effects.error.ran(), ErrorKind.Ran.NOT_RUN);
    }

    @Test
    public void whatRunsForACallerThatLeftIsGivenUpAtOnce() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlaced(placed("e1"));
        machine.onCallerLeft();
        assertTrue(effects.lines.contains("abandon leg 1"));
        assertEquals(effects.attempts, ImmutableList.of(End.LEFT));
        machine.onFailure(1, End.BROKEN, "late");
        assertEquals(effects.ends, 1);
    }

    @Test
    public void aPlaceThatComesAfterTheEndIsGivenBack() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onCallerLeft();
        machine.onPlaced(placed("e1"));
        assertEquals(effects.attempts, ImmutableList.of(End.LEFT));
    }

    @Test
    public void aRepeatableRequestThatGetsNoAnswerIsTriedElsewhereInTime() {
        ForwardMachine machine = begin(RouteKind.IDEMPOTENT, false, 2);
        machine.onPlaced(placed("e1"));
        effects.pass(Duration.ofMillis(400));
        machine.onTimer(TimerKind.HEAD, 1);
        assertTrue(effects.lines.contains("place REPEAT without [e1]"), effects.lines.toString());
    }

    // ---- Small helpers.

    private ForwardMachine begin(RouteKind kind, boolean resumable, int attempts) {
        Route route = new Route(
                "route",
                "a.example",
                "/",
                kind,
                Duration.ofMillis(800),
                Duration.ofMillis(150),
                Duration.ofMillis(200),
                1,
                ImmutableList.of(new ServiceShare(SERVICE, 1)),
                attempts,
                false,
                false,
                resumable,
                AllowedRegions.ANYWHERE);
        ForwardRequest request = new ForwardRequest(
                RequestId.of("r1"),
                route,
                SERVICE,
                Optional.empty(),
                Optional.empty(),
                Duration.ofMillis(1500),
                "fingerprint",
                ForwardRequest.FROM_START);
        ForwardMachine machine = ForwardMachine.of(request, effects);
        machine.begin();
        return machine;
    }

    private PlacementDecision placed(String endpoint) {
        return placed(endpoint, false);
    }

    private PlacementDecision placed(String endpoint, boolean rateLimited) {
        ListedEndpoint listed = new ListedEndpoint(
                EndpointIncarnation.of(EndpointId.of(endpoint), 1),
                SERVICE,
                NetworkAddress.of("127.0.0.1", 1),
                FailureDomain.of("a"),
                4,
                false,
                0,
                ImmutableMap.of());
        return new PlacementDecision.Placed(
                ++tickets, listed, OptionalLong.empty(), Optional.empty(), Optional.empty(), 1, 40, rateLimited);
    }

    private static AnswerStart ok() {
        return answer(200, true, true);
    }

    private static AnswerStart answer(int status, boolean ofThisRequest, boolean sealed) {
        return new AnswerStart(
                status,
                ofThisRequest,
                sealed,
                false,
                false,
                false,
                true,
                OptionalLong.of(FIRST_WEIGHTS),
                EndpointNotice.NONE);
    }

    private static AnswerStart noticed(AnswerStart head, EndpointNotice notice) {
        return new AnswerStart(
                head.status(),
                head.ofThisRequest(),
                head.sealed(),
                head.notRun(),
                head.fromOther(),
                head.encoded(),
                head.framed(),
                head.version(),
                notice);
    }

    private static AnswerStart notRun(int status) {
        return new AnswerStart(
                status, true, false, true, false, false, true, OptionalLong.empty(), EndpointNotice.NONE);
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }
}
