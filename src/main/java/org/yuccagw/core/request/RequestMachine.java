package org.yuccagw.core.request;

import com.google.common.collect.ImmutableSet;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.yuccagw.core.admission.AdmissionRequested;
import org.yuccagw.core.claim.ClaimDecision;
import org.yuccagw.core.claim.ClaimEnded;
import org.yuccagw.core.endpoint.AttemptObserved;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.WeightVersion;
import org.yuccagw.core.quarantine.EndpointTerminated;
import org.yuccagw.core.quarantine.QuarantineRequested;
import org.yuccagw.core.retry.RetryDecision;
import org.yuccagw.core.routing.AttemptReport;
import org.yuccagw.core.routing.RouteRequested;

/**
 * State machine of one request from its arrival to the last byte of its answer. Deterministic: events arrive as method
 * calls and effects leave through {@link RequestEffects}, all on one thread.
 *
 * <p>The usual sequence is: admission, claim (if the caller sent an idempotency key), quarantine, route, import, send,
 * stream, end.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>The caller receives exactly one end: {@code answerEnd}, {@code answerError}, {@code follow} or {@code replay}.
 *   <li>The pieces that the caller receives have the indexes 1, 2, 3, ... without gaps or duplicates, whichever
 *       connections they arrived on. Each connection is a <i>leg</i> with a number. Events of any leg except the
 *       current one are ignored, so late, duplicated or out-of-order pieces of an abandoned connection are never passed
 *       on.
 *   <li>A request that isn't idempotent is retried only after a failure that proves that it did not run.
 *   <li>An answer is produced by one weight version: the first head pins it, and every later attempt must use the same
 *       one.
 *   <li>Everything that was granted (admission, claim, permit, placement on an endpoint) is released exactly once, even
 *       if the grant arrives after the end.
 * </ul>
 *
 * <p>Example: pieces 1 to 5 have arrived when the connection falls silent. Leg 2 requests the stream after piece 5 from
 * the same engine. The engine has terminated, and the request is idempotent: attempt 2 is sent to another engine of the
 * same version with the text of the five pieces as a prefix to continue, and its piece 1 is the caller's piece 6.
 */
public final class RequestMachine {
    private static final int MAX_RESUMES_WITHOUT_PROGRESS = 2;
    private static final int MAX_ROUTE_RETRIES = 8;
    private static final Duration ROUTE_RETRY_DELAY = Duration.ofMillis(250);

    private final RequestProfile profile;
    private final RequestEffects effects;
    private final Set<EndpointId> excluded = new LinkedHashSet<>();
    private final StringBuilder text = new StringBuilder();

    private State state = State.NEW;
    private boolean admitted;
    private boolean claimHeld;
    private boolean mayHaveRun;
    private boolean mayHaveRunBefore;
    private boolean callerDisconnected;
    private boolean headSent;
    private long permit = NO_PERMIT;

    private int attemptsMade;
    private int routeRetries;
    private long attempt = NO_ATTEMPT;
    private EndpointStatus endpoint;
    private Optional<WeightVersion> version = Optional.empty();
    private String stream = "";
    private long leg;
    private long piecesBeforeAttempt;
    private long piecesSent;
    private int resumesWithoutProgress;
    private long sentNanos;
    private boolean firstTokenReported;
    private Usage usage;
    private AttemptFailure lastFailure;
    private String lastDetail = "";

    private static final long NO_ATTEMPT = -1;
    private static final long NO_PERMIT = -1;

    private enum State {
        NEW,
        ADMITTING,
        CLAIMING,
        JUDGING,
        ROUTING,
        IMPORTING,
        SENDING,
        STREAMING,
        PROBING,
        RESUMING,
        WAITING,
        OVER
    }

    /** The purpose of a timer of the machine. */
    public enum TimerKind {
        DEADLINE,
        BACKOFF
    }

    private RequestMachine(RequestProfile profile, RequestEffects effects) {
        this.profile = profile;
        this.effects = effects;
    }

    public static RequestMachine of(RequestProfile profile, RequestEffects effects) {
        return new RequestMachine(profile, effects);
    }

    /** Starts the request with its admission. */
    public void begin() {
        effects.schedule(TimerKind.DEADLINE, 0, profile.answerDeadline());
        state = State.ADMITTING;
        effects.requestAdmission();
    }

    /** Resumes an answer that another request started, on the endpoint that the resume token names. */
    public void beginResumed(EndpointStatus at) {
        RequestProfile.ResumePoint point = profile.resumePoint().orElseThrow();
        effects.schedule(TimerKind.DEADLINE, 0, profile.answerDeadline());
        endpoint = at;
        version = Optional.of(point.version());
        stream = point.stream();
        piecesSent = point.from();
        point.textSoFar().ifPresent(text::append);
        mayHaveRun = true;
        resumeStream();
    }

    /** Whether the request has ended. */
    public boolean isOver() {
        return state == State.OVER;
    }

    public void onAdmitted(Optional<YuccagwException> refusal) {
        if (state != State.ADMITTING) {
            if (refusal.isEmpty()) {
                effects.report(new AdmissionRequested.Released(profile.request(), 0));
            }
            return;
        }
        if (refusal.isPresent()) {
            fail(refusal.get());
            return;
        }
        admitted = true;
        if (profile.claim().isPresent()) {
            state = State.CLAIMING;
            effects.requestClaim();
        } else {
            checkQuarantine();
        }
    }

    public void onClaim(ClaimDecision decision) {
        if (state != State.CLAIMING) {
            // The deadline passed while the claim was being committed. Nothing was sent, so it is released.
            if (decision instanceof ClaimDecision.Granted) {
                endClaim(ClaimEnded.Outcome.NOT_SENT);
            }
            return;
        }
        if (decision instanceof ClaimDecision.Granted) {
            claimHeld = true;
            checkQuarantine();
        } else if (decision instanceof ClaimDecision.Running running) {
            effects.follow(running.entry(), running.request());
            complete();
        } else if (decision instanceof ClaimDecision.Answered answered) {
            effects.replay(answered.answer());
            complete();
        } else if (decision instanceof ClaimDecision.Refused refused) {
            fail(refused.error());
        }
    }

    public void onQuarantineDecision(QuarantineRequested.Decision decision) {
        if (state != State.JUDGING) {
            if (decision instanceof QuarantineRequested.Decision.Isolated isolated) {
                returnPermit(isolated.permit());
            }
            return;
        }
        if (decision instanceof QuarantineRequested.Decision.Refused refused) {
            if (schedulePermitRetry(refused.error())) {
                return;
            }
            // An earlier attempt may have run, so the error of the refused one must not say that nothing ran.
            fail(mayHaveRun ? attemptError() : refused.error());
            return;
        }
        if (decision instanceof QuarantineRequested.Decision.Isolated isolated) {
            permit = isolated.permit();
        }
        state = State.ROUTING;
        effects.requestRoute(version, ImmutableSet.copyOf(excluded), permit != NO_PERMIT);
    }

    public void onRoute(RouteRequested.Answer answer) {
        if (state != State.ROUTING) {
            if (answer instanceof RouteRequested.Answer.Chosen late) {
                effects.report(new AttemptReport.Ended(late.attempt(), false, -1, 0));
            }
            return;
        }
        if (answer instanceof RouteRequested.Answer.Refused refused) {
            if (!scheduleRouteRetry(refused.error())) {
                fail(routeError(refused.error()));
            }
            return;
        }
        RouteRequested.Answer.Chosen chosen = (RouteRequested.Answer.Chosen) answer;
        attempt = chosen.attempt();
        endpoint = chosen.endpoint();
        if (chosen.importPlan().isPresent()) {
            state = State.IMPORTING;
            effects.startImport(attempt, endpoint, chosen.importPlan().get());
        } else {
            send();
        }
    }

    public void onImported(long eventAttempt) {
        if (state == State.IMPORTING && eventAttempt == attempt) {
            send();
        }
    }

    /** Handles the head of an answer; the first head of a model's answer pins the weight version. */
    public void onHead(long eventLeg, AnswerHead head) {
        if (isStale(eventLeg)) {
            return;
        }
        mayHaveRun = true;
        if (profile.model()) {
            if (version.isPresent() && !version.get().value().equals(head.version())) {
                effects.cancelStream(endpoint, head.stream(), Duration.ZERO);
                onFailure(eventLeg, AttemptFailure.WRONG_VERSION, "it runs version " + head.version());
                return;
            }
            version = Optional.of(WeightVersion.of(head.version()));
            stream = head.stream();
        }
        state = State.STREAMING;
        if (!headSent) {
            headSent = true;
            effects.answerHead(head, endpoint);
        }
    }

    /** Handles a piece of a model's answer; {@code index} counts from 1 on the engine that runs this attempt. */
    public void onPiece(long eventLeg, long index, String pieceText) {
        if (isStale(eventLeg) || state != State.STREAMING) {
            return;
        }
        long position = piecesBeforeAttempt + index;
        if (position <= piecesSent) {
            return;
        }
        if (position > piecesSent + 1) {
            onFailure(eventLeg, AttemptFailure.BROKEN, "piece " + position + " came after piece " + piecesSent);
            return;
        }
        piecesSent = position;
        resumesWithoutProgress = 0;
        reportFirstToken();
        text.append(pieceText);
        effects.answerPiece(piecesSent, pieceText);
    }

    /** Handles the next bytes of a plain answer. */
    public void onBytes(long eventLeg, ByteBuffer bytes) {
        if (isStale(eventLeg) || state != State.STREAMING) {
            return;
        }
        piecesSent++;
        reportFirstToken();
        effects.answerBytes(bytes);
    }

    public void onUsage(long eventLeg, Usage reported) {
        if (!isStale(eventLeg)) {
            usage = reported;
        }
    }

    /** Called when the whole answer of this leg has arrived, including its end mark. */
    public void onDone(long eventLeg) {
        if (isStale(eventLeg)) {
            return;
        }
        if (profile.model() && usage == null) {
            onFailure(eventLeg, AttemptFailure.BROKEN, "the answer ended without its last chunk");
            return;
        }
        long cached = usage == null ? -1 : usage.cachedTokens();
        endAttempt(true, cached);
        effects.report(new AttemptObserved(endpoint.id(), endpoint.incarnation(), AttemptObserved.Outcome.ANSWERED));
        effects.creditRetryBudget();
        effects.answerEnd(Optional.ofNullable(usage).map(this::totalUsage));
        endClaim(ClaimEnded.Outcome.ANSWERED);
        complete();
    }

    /**
     * Handles the failure of the current leg. The cases are checked in this order:
     *
     * <ol>
     *   <li>The endpoint rejected the request as invalid: the failure is final, and the request did not run.
     *   <li>The failure proves that nothing ran, and no earlier leg of this attempt may have run: the request is
     *       retried on another endpoint within the retry budget, even if it isn't idempotent.
     *   <li>A resume failed because the endpoint refused the connection: the endpoint terminated while it ran this
     *       prompt. The termination is reported, and case 6 applies.
     *   <li>The connection broke or fell silent, and the stream on the engine is known: the stream is resumed over a
     *       new connection to the same engine. This doesn't run anything again, so it is correct for every request.
     *   <li>The connection broke or fell silent before any head arrived, or resuming did not succeed: the endpoint is
     *       probed, because its termination must be counted for this prompt. A refused connection is not the only
     *       indication of a termination: an intermediary in front of a terminated endpoint may accept connections and
     *       then close them. After the probe, case 6 applies.
     *   <li>The request may have run. An idempotent request is retried on another endpoint: a model's answer continues
     *       from the text so far, and a plain answer starts again only if no byte of it reached the caller. Any other
     *       request ends with an error which says that it may have run.
     * </ol>
     */
    public void onFailure(long eventLeg, AttemptFailure failure, String detail) {
        if (isStale(eventLeg)) {
            return;
        }
        lastFailure = failure;
        lastDetail = detail;
        boolean resuming = state == State.RESUMING;
        effects.abandon(leg);
        effects.report(new AttemptObserved(endpoint.id(), endpoint.incarnation(), failure.observedOutcome()));
        mayHaveRunBefore = mayHaveRun;
        mayHaveRun |= resuming || !failure.provesNotRun();
        if (failure == AttemptFailure.REJECTED && !resuming) {
            endAttempt(false, -1);
            fail(ErrorKind.ENDPOINT_REJECTED.raise(detail));
        } else if (failure.provesNotRun() && !resuming) {
            retryOnOtherEndpoint();
        } else if (resuming && failure == AttemptFailure.CONNECT_FAILED) {
            reportTermination();
            retryOnOtherEndpoint();
        } else if (canResume(failure)) {
            resumeStream();
        } else if (failure == AttemptFailure.BROKEN || failure == AttemptFailure.SILENT) {
            state = State.PROBING;
            effects.probe(leg, endpoint);
        } else {
            retryOnOtherEndpoint();
        }
    }

    /** Handles the result of a probe; the termination of an endpoint is counted for the prompt. */
    public void onProbed(long eventLeg, boolean alive) {
        if (isStale(eventLeg) || state != State.PROBING) {
            return;
        }
        if (!alive) {
            reportTermination();
        }
        retryOnOtherEndpoint();
    }

    public void onTimer(TimerKind kind, long eventLeg) {
        if (state == State.OVER) {
            return;
        }
        if (kind == TimerKind.DEADLINE) {
            failAtDeadline();
        } else if (state == State.WAITING && eventLeg == leg) {
            checkQuarantine();
        }
    }

    /**
     * Called when the caller's connection has been closed. A run with an idempotency key continues to its end, because
     * its answer is retained for a retry of the caller. Any other run is released: the engine retains a streamed answer
     * for the grace time, within which the caller may resume it.
     */
    public void onCallerDisconnected() {
        if (state == State.OVER || callerDisconnected) {
            return;
        }
        callerDisconnected = true;
        if (claimHeld || state == State.CLAIMING) {
            return;
        }
        if (state == State.ADMITTING) {
            effects.report(new AdmissionRequested.Withdrawn(profile.request()));
        }
        releaseEndpoint(profile.streamed() ? profile.resumeGrace() : Duration.ZERO);
        complete();
    }

    /**
     * Schedules a retry for a run that has started and was refused a permit; returns whether it did.
     *
     * <p>After a termination the prompt runs only with a permit. The issuer grants none while another run holds the
     * permit, or for some seconds after it became the owner of the shard. The caller may already have received a part
     * of the answer, which an error would make useless. The deadline of the request bounds the wait.
     */
    private boolean schedulePermitRetry(YuccagwException refusal) {
        boolean isTemporary =
                refusal.kind() == ErrorKind.OVERLOADED && refusal.retryAfter().isPresent();
        if (!isTemporary || attemptsMade == 0) {
            return false;
        }
        state = State.WAITING;
        leg++;
        effects.schedule(TimerKind.BACKOFF, leg, refusal.retryAfter().get());
        return true;
    }

    /**
     * Schedules a retry for a request that certainly hasn't run and found no endpoint; returns whether it did.
     *
     * <p>The local view of the endpoints is delayed. During a fast rolling swap, replicas that have finished loading
     * are still seen as loading, or as running the older version and then refuse the request, so that for a short time
     * no replica seems to serve. A few short waits bridge the delay; after each of them every endpoint may be tried
     * again. When they are used up, the refusal is final and is sent at once.
     */
    private boolean scheduleRouteRetry(YuccagwException refusal) {
        boolean isTemporary = refusal.kind() == ErrorKind.NO_ENDPOINT && !mayHaveRun;
        if (!isTemporary || routeRetries >= MAX_ROUTE_RETRIES) {
            return false;
        }
        routeRetries++;
        excluded.clear();
        state = State.WAITING;
        leg++;
        effects.schedule(TimerKind.BACKOFF, leg, ROUTE_RETRY_DELAY);
        return true;
    }

    private void checkQuarantine() {
        state = State.JUDGING;
        effects.requestQuarantineDecision();
    }

    private void send() {
        state = State.SENDING;
        attemptsMade++;
        leg++;
        piecesBeforeAttempt = piecesSent;
        stream = "";
        usage = null;
        sentNanos = effects.nowNanos();
        effects.report(new AttemptReport.Sent(attempt));
        effects.send(leg, attempt, endpoint, text.toString(), piecesSent);
    }

    private boolean canResume(AttemptFailure failure) {
        boolean connectionOnly = failure == AttemptFailure.BROKEN || failure == AttemptFailure.SILENT;
        return connectionOnly && !stream.isEmpty() && resumesWithoutProgress < MAX_RESUMES_WITHOUT_PROGRESS;
    }

    private void resumeStream() {
        resumesWithoutProgress++;
        state = State.RESUMING;
        leg++;
        effects.resume(leg, endpoint, stream, piecesSent - piecesBeforeAttempt);
    }

    private void retryOnOtherEndpoint() {
        endAttempt(false, -1);
        excluded.add(endpoint.id());
        if (!mayRetryOnOtherEndpoint()) {
            fail(attemptError());
            return;
        }
        RetryDecision decision = effects.decideRetry(lastFailure, mayHaveRunBefore, attemptsMade);
        if (decision instanceof RetryDecision.Retry retry) {
            stream = "";
            state = State.WAITING;
            leg++;
            effects.schedule(TimerKind.BACKOFF, leg, retry.delay());
        } else {
            fail(retryError((RetryDecision.GiveUp) decision));
        }
    }

    /** Whether another endpoint may run the request: it hasn't run, or it is idempotent and its answer can continue. */
    private boolean mayRetryOnOtherEndpoint() {
        if (!mayHaveRun) {
            return true;
        }
        if (!profile.idempotent()) {
            return false;
        }
        boolean textKnown = profile.resumePoint().isEmpty()
                || profile.resumePoint().get().textSoFar().isPresent();
        return profile.model() ? textKnown : piecesSent == 0 && !headSent;
    }

    private void reportTermination() {
        lastFailure = AttemptFailure.DIED;
        effects.report(new AttemptObserved(endpoint.id(), endpoint.incarnation(), AttemptObserved.Outcome.DIED));
        effects.report(new EndpointTerminated(
                profile.fingerprint(), endpoint.id(), endpoint.incarnation(), permit != NO_PERMIT));
    }

    private void reportFirstToken() {
        if (!firstTokenReported && attempt != NO_ATTEMPT) {
            firstTokenReported = true;
            long millis = (effects.nowNanos() - sentNanos) / 1_000_000;
            effects.report(new AttemptReport.FirstToken(attempt, millis));
        }
    }

    /** Returns the usage over all attempts; the prompt of a later attempt contains the pieces of the earlier ones. */
    private Usage totalUsage(Usage ofLastAttempt) {
        long answerTokens = Math.max(piecesSent, ofLastAttempt.answerTokens());
        long promptTokens = ofLastAttempt.promptTokens() - piecesBeforeAttempt;
        return new Usage(
                Math.max(0, promptTokens), answerTokens, ofLastAttempt.cachedTokens(), ofLastAttempt.finishReason());
    }

    private void failAtDeadline() {
        long millis = profile.answerDeadline().toMillis();
        if (state == State.ADMITTING) {
            effects.report(new AdmissionRequested.Withdrawn(profile.request()));
        }
        mayHaveRun |= state == State.SENDING;
        YuccagwException error =
                mayHaveRun ? ErrorKind.DEADLINE_PASSED.raise(millis) : ErrorKind.OVERLOADED.raise(millis);
        releaseEndpoint(Duration.ZERO);
        fail(error);
    }

    private void releaseEndpoint(Duration grace) {
        if (leg > 0) {
            effects.abandon(leg);
        }
        if (!stream.isEmpty()) {
            effects.cancelStream(endpoint, stream, grace);
        }
        endAttempt(false, -1);
    }

    private YuccagwException routeError(YuccagwException error) {
        boolean answerStarted = piecesSent > 0 || headSent;
        if (answerStarted && version.isPresent()) {
            return ErrorKind.VERSION_GONE.raise(version.get());
        }
        return mayHaveRun ? attemptError() : error;
    }

    private YuccagwException attemptError() {
        String detail = lastFailure == null ? lastDetail : lastFailure + ": " + lastDetail;
        if (headSent || piecesSent > 0) {
            return ErrorKind.STREAM_LOST.raise(detail);
        }
        return mayHaveRun
                ? ErrorKind.ENDPOINT_FAILED.raise(endpoint.id(), detail)
                : ErrorKind.ENDPOINT_REFUSED.raise(endpoint.id(), detail);
    }

    private YuccagwException retryError(RetryDecision.GiveUp decision) {
        boolean budgetSpent = decision.error() == ErrorKind.RETRY_BUDGET_SPENT && !mayHaveRun;
        return budgetSpent ? ErrorKind.RETRY_BUDGET_SPENT.raise(profile.service()) : attemptError();
    }

    private void fail(YuccagwException error) {
        endClaim(mayHaveRun ? ClaimEnded.Outcome.UNKNOWN : ClaimEnded.Outcome.NOT_SENT);
        effects.answerError(error);
        complete();
    }

    private void endClaim(ClaimEnded.Outcome outcome) {
        boolean late = state == State.OVER;
        if (claimHeld || late) {
            claimHeld = false;
            Optional<ClaimDecision.KeptAnswer> answer =
                    outcome == ClaimEnded.Outcome.ANSWERED ? effects.keptAnswer() : Optional.empty();
            profile.claim().ifPresent(claim -> effects.report(new ClaimEnded(claim, outcome, answer)));
        }
    }

    private void endAttempt(boolean answered, long cachedTokens) {
        if (attempt != NO_ATTEMPT) {
            effects.report(new AttemptReport.Ended(attempt, answered, cachedTokens, piecesSent - piecesBeforeAttempt));
            attempt = NO_ATTEMPT;
        }
        if (permit != NO_PERMIT) {
            returnPermit(permit);
            permit = NO_PERMIT;
        }
    }

    private void returnPermit(long number) {
        effects.report(new QuarantineRequested.PermitReturned(profile.fingerprint(), number));
    }

    private void complete() {
        state = State.OVER;
        if (admitted) {
            admitted = false;
            long usedTokens = usage == null ? piecesSent : usage.promptTokens() + usage.answerTokens();
            effects.report(new AdmissionRequested.Released(profile.request(), usedTokens));
        }
        if (permit != NO_PERMIT) {
            returnPermit(permit);
            permit = NO_PERMIT;
        }
        effects.ended();
    }

    /** Whether an event belongs to an earlier leg or arrives after the end. */
    private boolean isStale(long eventLeg) {
        return eventLeg != leg || state == State.OVER;
    }
}
