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
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EndpointId;
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
 *   <li>A run on an engine that is alive is given up only when another engine has begun to answer in its place, and
 *       then it is cancelled there.
 *   <li>A request that isn't idempotent is retried only after a failure that proves that it did not run.
 *   <li>An answer is produced by one weight version and one version of the engine's software: the first head pins them,
 *       and every later attempt must use the same ones.
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
    private static final Duration RETURN_DELAY = Duration.ofSeconds(1);

    private final RequestProfile profile;
    private final RequestEffects effects;
    private final KeyedClaim claim;
    private final IsolationPermit permit;
    private final RunEvidence evidence = RunEvidence.create();
    private final PlacementRetries placementRetries = PlacementRetries.create();
    private final Set<EndpointId> excluded = new LinkedHashSet<>();
    private final AnswerProgress progress = AnswerProgress.create();
    private final PinnedVersions versions = PinnedVersions.none();

    private RequestState state = RequestState.NEW;
    private Optional<YuccagwException> refusal = Optional.empty();
    private boolean admitted;
    private boolean callerDisconnected;

    private int attemptsMade;
    private EngineRun run = EngineRun.unplaced();
    private Optional<EngineRun> held = Optional.empty();
    private long leg;
    private int resumesWithoutProgress;
    private boolean firstTokenReported;

    /** The purpose of a timer of the machine. */
    public enum TimerKind {
        DEADLINE,
        BACKOFF
    }

    private RequestMachine(RequestProfile profile, RequestEffects effects) {
        this.profile = profile;
        this.effects = effects;
        this.claim = KeyedClaim.of(profile, effects);
        this.permit = IsolationPermit.of(profile, effects);
    }

    public static RequestMachine of(RequestProfile profile, RequestEffects effects) {
        return new RequestMachine(profile, effects);
    }

    /** Starts the request with its admission. */
    public void begin() {
        effects.schedule(TimerKind.DEADLINE, 0, profile.answerDeadline());
        state = RequestState.ADMITTING;
        effects.requestAdmission();
    }

    /** Resumes an answer that another request started, on the endpoint that the resume token names. */
    public void beginResumed(EndpointStatus at) {
        RequestProfile.ResumePoint point = profile.resumePoint().orElseThrow();
        effects.schedule(TimerKind.DEADLINE, 0, profile.answerDeadline());
        run = EngineRun.of(EngineRun.NO_ATTEMPT, at, 0);
        run.startStream(point.stream());
        versions.resume(point);
        progress.resumeAfter(point.from(), point.textSoFar());
        evidence.recordRun();
        resumeStream();
    }

    /** Whether the request has ended. */
    public boolean isOver() {
        return state == RequestState.OVER;
    }

    public void onAdmitted(Optional<YuccagwException> error) {
        if (state != RequestState.ADMITTING) {
            if (error.isEmpty()) {
                effects.report(new AdmissionRequested.Released(profile.request(), 0));
            }
            return;
        }
        if (error.isPresent()) {
            refuse(error.get());
            return;
        }
        admitted = true;
        if (claim.isRequired()) {
            state = RequestState.CLAIMING;
            effects.requestClaim();
        } else {
            checkQuarantine();
        }
    }

    /** Refuses the request. One that repeats an idempotency key is answered by what is recorded of the key. */
    private void refuse(YuccagwException error) {
        if (!claim.isRequired()) {
            fail(error);
            return;
        }
        refusal = Optional.of(error);
        state = RequestState.LOOKING_UP;
        effects.lookUpClaim();
    }

    public void onClaimLookup(ClaimDecision decision) {
        if (state != RequestState.LOOKING_UP) {
            return;
        }
        YuccagwException error = refusal.orElseThrow();
        boolean unknown = decision instanceof ClaimDecision.Refused refused
                && refused.error().kind() == ErrorKind.CLAIM_UNAVAILABLE;
        if (decision instanceof ClaimDecision.Unclaimed) {
            fail(error);
        } else if (unknown) {
            fail(error.mayHaveRunBefore());
        } else {
            endWithEarlierAttempt(decision);
        }
    }

    public void onClaim(ClaimDecision decision) {
        if (state != RequestState.CLAIMING) {
            // The deadline passed while the claim was being committed. Nothing was sent, so it is released.
            if (decision instanceof ClaimDecision.Granted) {
                claim.releaseLate();
            }
            return;
        }
        if (decision instanceof ClaimDecision.Granted) {
            claim.hold();
            checkQuarantine();
        } else {
            endWithEarlierAttempt(decision);
        }
    }

    private void endWithEarlierAttempt(ClaimDecision decision) {
        if (decision instanceof ClaimDecision.Running running) {
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
        if (state != RequestState.JUDGING) {
            if (decision instanceof QuarantineRequested.Decision.Isolated isolated) {
                permit.release(isolated.permit());
            }
            return;
        }
        if (decision instanceof QuarantineRequested.Decision.Refused refused) {
            if (returnToHeldRun() || schedulePermitRetry(refused.error())) {
                return;
            }
            // An earlier attempt may have run, so the error of the refused one must not say that nothing ran.
            fail(evidence.mayHaveRun() ? attemptError() : refused.error());
            return;
        }
        if (decision instanceof QuarantineRequested.Decision.Isolated isolated) {
            permit.hold(isolated.permit());
        }
        state = RequestState.ROUTING;
        effects.requestRoute(versions.weights(), versions.software(), ImmutableSet.copyOf(excluded), permit.isHeld());
    }

    public void onRoute(RouteRequested.Answer answer) {
        if (state != RequestState.ROUTING) {
            if (answer instanceof RouteRequested.Answer.Chosen late) {
                effects.report(new AttemptReport.Ended(late.attempt(), false, -1, 0));
            }
            return;
        }
        if (answer instanceof RouteRequested.Answer.Refused refused) {
            if (!returnToHeldRun() && !scheduleRouteRetry(refused.error())) {
                fail(routeError(refused.error()));
            }
            return;
        }
        RouteRequested.Answer.Chosen chosen = (RouteRequested.Answer.Chosen) answer;
        run = EngineRun.of(chosen.attempt(), chosen.endpoint(), progress.pieces());
        if (chosen.importPlan().isPresent()) {
            state = RequestState.IMPORTING;
            effects.startImport(
                    run.attempt(), run.endpoint(), chosen.importPlan().get());
        } else {
            send();
        }
    }

    public void onImported(long eventAttempt) {
        if (state == RequestState.IMPORTING && eventAttempt == run.attempt()) {
            send();
        }
    }

    /** Handles the head of an answer; the first head of a model's answer pins the versions. */
    public void onHead(long eventLeg, AnswerHead head) {
        if (isStale(eventLeg)) {
            return;
        }
        evidence.recordRun();
        if (profile.model()) {
            if (!versions.permit(head)) {
                effects.cancelStream(run.endpoint(), head.stream(), Duration.ZERO);
                String detail = "it runs weights " + head.version() + " and software " + head.software();
                onFailure(eventLeg, AttemptFailure.WRONG_VERSION, detail);
                return;
            }
            versions.record(head);
            run.startStream(head.stream());
            releaseHeldRun(Duration.ZERO);
        }
        state = RequestState.STREAMING;
        if (progress.recordHead()) {
            effects.answerHead(head, run.endpoint());
        }
    }

    /** Handles a piece of a model's answer; {@code index} counts from 1 on the engine that runs this attempt. */
    public void onPiece(long eventLeg, long index, String pieceText) {
        if (isStale(eventLeg) || state != RequestState.STREAMING) {
            return;
        }
        long position = run.piecesBefore() + index;
        long received = progress.pieces();
        if (position <= received) {
            return;
        }
        if (position > received + 1) {
            onFailure(eventLeg, AttemptFailure.BROKEN, "piece " + position + " came after piece " + received);
            return;
        }
        resumesWithoutProgress = 0;
        reportFirstToken();
        progress.addPiece(pieceText);
        effects.answerPiece(position, pieceText);
    }

    /** Handles the next bytes of a plain answer. */
    public void onBytes(long eventLeg, ByteBuffer bytes) {
        if (isStale(eventLeg) || state != RequestState.STREAMING) {
            return;
        }
        progress.addBytes();
        reportFirstToken();
        effects.answerBytes(bytes);
    }

    public void onUsage(long eventLeg, Usage reported) {
        if (!isStale(eventLeg)) {
            progress.recordUsage(reported);
        }
    }

    /** Called when the whole answer of this leg has arrived, including its end mark. */
    public void onDone(long eventLeg) {
        if (isStale(eventLeg)) {
            return;
        }
        if (profile.model() && progress.usage().isEmpty()) {
            onFailure(eventLeg, AttemptFailure.BROKEN, "the answer ended without its last chunk");
            return;
        }
        long cached = progress.cachedTokens();
        endAttempt(true, cached);
        run.reportAnswer(effects, profile);
        effects.creditRetryBudget();
        effects.answerEnd(progress.usage().map(last -> last.afterPieces(run.piecesBefore(), progress.pieces())));
        claim.end(ClaimEnded.Outcome.ANSWERED);
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
     *       then close them. A known stream on an endpoint that is alive is held while another endpoint is requested,
     *       and resumed if none takes its place. Otherwise case 6 applies.
     *   <li>The request may have run. An idempotent request is retried on another endpoint: a model's answer continues
     *       from the text so far, and a plain answer starts again only if no byte of it reached the caller. Any other
     *       request ends with an error which says that it may have run.
     * </ol>
     */
    public void onFailure(long eventLeg, AttemptFailure failure, String detail) {
        if (isStale(eventLeg)) {
            return;
        }
        boolean resuming = state == RequestState.RESUMING;
        effects.abandon(leg);
        run.observe(effects, failure.observedOutcome());
        evidence.recordFailure(failure, resuming, detail);
        if (failure == AttemptFailure.REJECTED && !resuming && held.isEmpty()) {
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
            state = RequestState.PROBING;
            effects.probe(leg, run.endpoint());
        } else {
            retryOnOtherEndpoint();
        }
    }

    /** Handles the result of a probe; the termination of an endpoint is counted for the prompt. */
    public void onProbed(long eventLeg, boolean alive) {
        if (isStale(eventLeg) || state != RequestState.PROBING) {
            return;
        }
        if (!alive) {
            reportTermination();
        }
        if (alive && run.hasStream()) {
            requestReplacement();
        } else {
            retryOnOtherEndpoint();
        }
    }

    public void onTimer(TimerKind kind, long eventLeg) {
        if (state == RequestState.OVER) {
            return;
        }
        if (kind == TimerKind.DEADLINE) {
            failAtDeadline();
        } else if (state == RequestState.WAITING && eventLeg == leg) {
            checkQuarantine();
        } else if (state == RequestState.RETURNING && eventLeg == leg) {
            resumeStream();
        }
    }

    /**
     * Called when the caller's connection has been closed. A run with an idempotency key continues to its end, because
     * its answer is retained for a retry of the caller. Any other run is released: the engine retains a streamed answer
     * for the grace time, within which the caller may resume it.
     */
    public void onCallerDisconnected() {
        if (state == RequestState.OVER || callerDisconnected) {
            return;
        }
        callerDisconnected = true;
        if (claim.isHeld() || state == RequestState.CLAIMING) {
            return;
        }
        if (state == RequestState.ADMITTING) {
            effects.report(new AdmissionRequested.Withdrawn(profile.request()));
        }
        releaseEndpoint(profile.streamed() ? profile.resumeGrace() : Duration.ZERO);
        complete();
    }

    private boolean schedulePermitRetry(YuccagwException error) {
        Optional<Duration> delay = placementRetries.afterPermitRefusal(error, attemptsMade);
        delay.ifPresent(value -> waitIn(RequestState.WAITING, value));
        return delay.isPresent();
    }

    private boolean scheduleRouteRetry(YuccagwException error) {
        Optional<Duration> delay = placementRetries.afterRouteRefusal(error, evidence.mayHaveRun());
        if (delay.isPresent()) {
            excluded.clear();
            waitIn(RequestState.WAITING, delay.get());
        }
        return delay.isPresent();
    }

    private void checkQuarantine() {
        state = RequestState.JUDGING;
        effects.requestQuarantineDecision();
    }

    private void send() {
        state = RequestState.SENDING;
        attemptsMade++;
        leg++;
        progress.forgetUsage();
        placementRetries.sent();
        run.sent(effects);
        effects.send(leg, run.attempt(), run.endpoint(), progress.text(), progress.pieces());
    }

    private boolean canResume(AttemptFailure failure) {
        boolean connectionOnly = failure == AttemptFailure.BROKEN || failure == AttemptFailure.SILENT;
        return connectionOnly && run.hasStream() && resumesWithoutProgress < MAX_RESUMES_WITHOUT_PROGRESS;
    }

    private void resumeStream() {
        resumesWithoutProgress++;
        state = RequestState.RESUMING;
        leg++;
        effects.resume(leg, run.endpoint(), run.stream(), progress.pieces() - run.piecesBefore());
    }

    private void retryOnOtherEndpoint() {
        excluded.add(run.endpoint().id());
        if (returnToHeldRun()) {
            return;
        }
        if (!evidence.endedStream()) {
            run.cancelStream(effects, Duration.ZERO);
        }
        endAttempt(false, -1);
        if (!mayRetryOnOtherEndpoint()) {
            fail(attemptError());
            return;
        }
        RetryDecision decision = decideRetry();
        if (decision instanceof RetryDecision.Retry retry) {
            run = EngineRun.unplaced(run.endpoint());
            waitIn(RequestState.WAITING, retry.delay());
        } else {
            fail(retryError((RetryDecision.GiveUp) decision));
        }
    }

    private RetryDecision decideRetry() {
        return effects.decideRetry(evidence.lastFailure(), evidence.mayHaveRunBefore(), attemptsMade);
    }

    /** Requests another endpoint in place of one that is alive but sends nothing, and holds the run there meanwhile. */
    private void requestReplacement() {
        boolean mayMove = !permit.isHeld() && mayRetryOnOtherEndpoint();
        Optional<Duration> delay = mayMove ? placementRetries.forReplacement(this::decideRetry) : Optional.empty();
        if (delay.isEmpty()) {
            waitIn(RequestState.RETURNING, RETURN_DELAY);
            return;
        }
        excluded.add(run.endpoint().id());
        held = Optional.of(run);
        run = EngineRun.unplaced(run.endpoint());
        waitIn(RequestState.WAITING, delay.get());
    }

    /** Gives up the replacement and returns to the held run; returns whether there is one. */
    private boolean returnToHeldRun() {
        if (held.isEmpty()) {
            return false;
        }
        endAttempt(false, -1);
        run = held.get();
        held = Optional.empty();
        waitIn(RequestState.RETURNING, RETURN_DELAY);
        return true;
    }

    private void releaseHeldRun(Duration grace) {
        held.ifPresent(silentRun -> {
            silentRun.cancelStream(effects, grace);
            silentRun.end(effects, false, -1, progress.pieces());
        });
        held = Optional.empty();
    }

    private void waitIn(RequestState waiting, Duration delay) {
        state = waiting;
        leg++;
        effects.schedule(TimerKind.BACKOFF, leg, delay);
    }

    /** Whether another endpoint may run the request: it hasn't run, or it is idempotent and its answer can continue. */
    private boolean mayRetryOnOtherEndpoint() {
        if (!evidence.mayHaveRun()) {
            return true;
        }
        if (!profile.idempotent()) {
            return false;
        }
        boolean textKnown = profile.resumePoint().isEmpty()
                || profile.resumePoint().get().textSoFar().isPresent();
        return profile.model() ? textKnown && versions.mayMove() : !progress.isBegun();
    }

    private void reportTermination() {
        evidence.recordTermination();
        run.reportTermination(effects, profile);
    }

    private void reportFirstToken() {
        if (!firstTokenReported) {
            firstTokenReported = run.reportFirstToken(effects);
        }
    }

    private void failAtDeadline() {
        long millis = profile.answerDeadline().toMillis();
        if (state == RequestState.ADMITTING) {
            effects.report(new AdmissionRequested.Withdrawn(profile.request()));
        }
        if (state == RequestState.SENDING) {
            evidence.recordRun();
        }
        YuccagwException error = evidence.mayHaveRun()
                ? ErrorKind.DEADLINE_PASSED.raise(millis)
                : claim.refusal(ErrorKind.OVERLOADED.raise(millis));
        releaseEndpoint(Duration.ZERO);
        fail(error);
    }

    private void releaseEndpoint(Duration grace) {
        if (leg > 0) {
            effects.abandon(leg);
        }
        run.cancelStream(effects, grace);
        releaseHeldRun(grace);
        endAttempt(false, -1);
    }

    private YuccagwException routeError(YuccagwException error) {
        if (progress.isBegun() && versions.weights().isPresent()) {
            return error.kind() == ErrorKind.SOFTWARE_GONE
                    ? error.mayHaveRunBefore()
                    : ErrorKind.VERSION_GONE.raise(versions.weights().get());
        }
        return evidence.mayHaveRun() ? attemptError() : error;
    }

    private YuccagwException attemptError() {
        return evidence.attemptError(progress.isBegun(), run.endpoint().id());
    }

    private YuccagwException retryError(RetryDecision.GiveUp decision) {
        return evidence.isBudgetSpent(decision)
                ? ErrorKind.RETRY_BUDGET_SPENT.raise(profile.service())
                : attemptError();
    }

    private void fail(YuccagwException error) {
        claim.end(evidence.mayHaveRun() ? ClaimEnded.Outcome.UNKNOWN : ClaimEnded.Outcome.NOT_SENT);
        effects.answerError(error);
        complete();
    }

    private void endAttempt(boolean answered, long cachedTokens) {
        run.end(effects, answered, cachedTokens, progress.pieces());
        permit.release();
    }

    private void complete() {
        state = RequestState.OVER;
        if (admitted) {
            admitted = false;
            effects.report(new AdmissionRequested.Released(profile.request(), progress.usedTokens()));
        }
        permit.release();
        effects.ended();
    }

    /** Whether an event belongs to an earlier leg or arrives after the end. */
    private boolean isStale(long eventLeg) {
        return eventLeg != leg || state == RequestState.OVER;
    }
}
