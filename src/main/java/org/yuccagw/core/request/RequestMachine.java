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
import org.yuccagw.core.quarantine.EndpointDied;
import org.yuccagw.core.quarantine.QuarantineRequested;
import org.yuccagw.core.retry.RetryDecision;
import org.yuccagw.core.routing.AttemptReport;
import org.yuccagw.core.routing.RouteRequested;

/**
 * One request from arrival to its last byte. Deterministic: events in by its methods, effects out by
 * {@link RequestEffects}, all on one thread.
 *
 * <p>The usual way: admission, claim (when the caller sent a key), quarantine, route, import, send, stream, end.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>The caller gets exactly one end: {@code answerEnd}, {@code answerError}, {@code follow} or {@code replay}.
 *   <li>Pieces reach the caller with indexes 1, 2, 3, ... without gap or repetition, whatever connections they came by.
 *       Each connection is a <i>leg</i> with a number; events of any leg but the present one are ignored, so late,
 *       doubled or out-of-order pieces of an abandoned connection can't slip in.
 *   <li>A request that isn't idempotent is sent again only after a failure that proves that it did not run.
 *   <li>One answer, one weight version: the first head pins it, and every later attempt must keep it.
 *   <li>Whatever was granted (admission, claim, permit, place on an endpoint) is given back exactly once, also when the
 *       grant arrives after the end.
 * </ul>
 *
 * <p>Example: pieces 1 to 5 arrived when the connection fell silent. Leg 2 asks the same engine for the stream after
 * piece 5. That engine is gone, and the request is idempotent: attempt 2 goes to another engine of the same version
 * with the text of the five pieces as a prefix to continue; its piece 1 is the caller's piece 6.
 */
public final class RequestMachine {
    private static final int MOST_RESUMES_WITHOUT_PROGRESS = 2;
    private static final int MOST_ROUTE_WAITS = 8;
    private static final Duration ROUTE_WAIT = Duration.ofMillis(250);

    private final RequestProfile profile;
    private final RequestEffects effects;
    private final Set<EndpointId> excluded = new LinkedHashSet<>();
    private final StringBuilder text = new StringBuilder();

    private State state = State.NEW;
    private boolean admitted;
    private boolean claimHeld;
    private boolean mayHaveRun;
    private boolean mayHaveRunBefore;
    private boolean callerLeft;
    private boolean headSent;
    private long permit = NO_PERMIT;

    private int attemptsMade;
    private int routeWaits;
    private long attempt = NO_ATTEMPT;
    private EndpointStatus endpoint;
    private Optional<WeightVersion> version = Optional.empty();
    private String stream = "";
    private long leg;
    private long legBase;
    private long emitted;
    private int resumesWithoutProgress;
    private long sentNanos;
    private boolean firstSeen;
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

    /** What a timer of the machine is for. */
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

    public void begin() {
        effects.schedule(TimerKind.DEADLINE, 0, profile.answerDeadline());
        state = State.ADMITTING;
        effects.askAdmission();
    }

    /** Goes on with an answer that another request began; the endpoint is the one that the token names. */
    public void beginResumed(EndpointStatus at) {
        RequestProfile.ResumePoint point = profile.resumeAt().orElseThrow();
        effects.schedule(TimerKind.DEADLINE, 0, profile.answerDeadline());
        endpoint = at;
        version = Optional.of(point.version());
        stream = point.stream();
        emitted = point.from();
        point.textSoFar().ifPresent(text::append);
        mayHaveRun = true;
        resumeStream();
    }

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
            finish(refusal.get());
            return;
        }
        admitted = true;
        if (profile.claim().isPresent()) {
            state = State.CLAIMING;
            effects.askClaim();
        } else {
            judge();
        }
    }

    public void onClaim(ClaimDecision decision) {
        if (state != State.CLAIMING) {
            // The deadline passed while the claim was being committed: it was granted to nobody and nothing was sent.
            if (decision instanceof ClaimDecision.Granted) {
                endClaim(ClaimEnded.Outcome.NOT_SENT);
            }
            return;
        }
        if (decision instanceof ClaimDecision.Granted) {
            claimHeld = true;
            judge();
        } else if (decision instanceof ClaimDecision.Running running) {
            effects.follow(running.entry(), running.request());
            over();
        } else if (decision instanceof ClaimDecision.Answered answered) {
            effects.replay(answered.answer());
            over();
        } else if (decision instanceof ClaimDecision.Refused refused) {
            finish(refused.error());
        }
    }

    public void onVerdict(QuarantineRequested.Verdict verdict) {
        if (state != State.JUDGING) {
            if (verdict instanceof QuarantineRequested.Verdict.Alone alone) {
                returnPermit(alone.permit());
            }
            return;
        }
        if (verdict instanceof QuarantineRequested.Verdict.Refused refused) {
            if (waitsForPermit(refused.error())) {
                return;
            }
            // A later attempt is refused although an earlier one may have run: "not run" would be a lie about that one.
            finish(mayHaveRun ? lostError() : refused.error());
            return;
        }
        if (verdict instanceof QuarantineRequested.Verdict.Alone alone) {
            permit = alone.permit();
        }
        state = State.ROUTING;
        effects.askRoute(version, ImmutableSet.copyOf(excluded), permit != NO_PERMIT);
    }

    public void onRoute(RouteRequested.Answer answer) {
        if (state != State.ROUTING) {
            if (answer instanceof RouteRequested.Answer.Chosen late) {
                effects.report(new AttemptReport.Ended(late.attempt(), false, -1, 0));
            }
            return;
        }
        if (answer instanceof RouteRequested.Answer.Refused refused) {
            if (!waitsForEndpoint(refused.error())) {
                finish(routeError(refused.error()));
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

    public void onImported(long ofAttempt) {
        if (state == State.IMPORTING && ofAttempt == attempt) {
            send();
        }
    }

    public void onHead(long ofLeg, AnswerHead head) {
        if (isStale(ofLeg)) {
            return;
        }
        mayHaveRun = true;
        if (profile.model()) {
            if (version.isPresent() && !version.get().value().equals(head.version())) {
                effects.cancelStream(endpoint, head.stream(), Duration.ZERO);
                onFailure(ofLeg, AttemptFailure.WRONG_VERSION, "it runs version " + head.version());
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

    /** A piece of a model's answer; {@code index} counts from 1 on the engine that runs this attempt. */
    public void onPiece(long ofLeg, long index, String pieceText) {
        if (isStale(ofLeg) || state != State.STREAMING) {
            return;
        }
        long position = legBase + index;
        if (position <= emitted) {
            return;
        }
        if (position > emitted + 1) {
            onFailure(ofLeg, AttemptFailure.BROKEN, "piece " + position + " came after piece " + emitted);
            return;
        }
        emitted = position;
        resumesWithoutProgress = 0;
        noteFirstToken();
        text.append(pieceText);
        effects.answerPiece(emitted, pieceText);
    }

    public void onBytes(long ofLeg, ByteBuffer bytes) {
        if (isStale(ofLeg) || state != State.STREAMING) {
            return;
        }
        emitted++;
        noteFirstToken();
        effects.answerBytes(bytes);
    }

    public void onUsage(long ofLeg, Usage reported) {
        if (!isStale(ofLeg)) {
            usage = reported;
        }
    }

    /** The whole answer of this leg arrived, end mark included. */
    public void onDone(long ofLeg) {
        if (isStale(ofLeg)) {
            return;
        }
        if (profile.model() && usage == null) {
            onFailure(ofLeg, AttemptFailure.BROKEN, "the answer ended without its last chunk");
            return;
        }
        long cached = usage == null ? -1 : usage.cachedTokens();
        endAttempt(true, cached);
        effects.report(new AttemptObserved(endpoint.id(), endpoint.incarnation(), AttemptObserved.Outcome.ANSWERED));
        effects.earnRetryBudget();
        effects.answerEnd(Optional.ofNullable(usage).map(this::overAllAttempts));
        endClaim(ClaimEnded.Outcome.ANSWERED);
        over();
    }

    /**
     * The present leg failed. The cases, in this order:
     *
     * <ol>
     *   <li>The endpoint holds the request for wrong: final, and it did not run.
     *   <li>The failure proves that nothing ran, and no earlier leg of this attempt may have run: another endpoint may
     *       try, within the budget, also for a request that isn't idempotent.
     *   <li>A resume failed because nobody listens there any more: the endpoint died while running this prompt, which
     *       is reported; go on as in 6.
     *   <li>The connection broke or fell silent and the engine's stream is known: read on over a new connection to the
     *       same engine. This runs nothing anew, so it is right for every request.
     *   <li>The connection broke or fell silent before any head, or resuming came to nothing: ask the endpoint whether
     *       it lives, because a death must be counted against this prompt. A refused connection is not the only sign
     *       of it: something before a dead endpoint may accept connections and then close them. Go on as in 6.
     *   <li>It may have run. An idempotent request may go on elsewhere: a model's answer from the text so far, a plain
     *       one only if no byte reached the caller. Any other request ends, and says that it may have run.
     * </ol>
     */
    public void onFailure(long ofLeg, AttemptFailure failure, String detail) {
        if (isStale(ofLeg)) {
            return;
        }
        lastFailure = failure;
        lastDetail = detail;
        boolean resuming = state == State.RESUMING;
        effects.abandon(leg);
        effects.report(new AttemptObserved(endpoint.id(), endpoint.incarnation(), failure.observed()));
        mayHaveRunBefore = mayHaveRun;
        mayHaveRun |= resuming || !failure.provesNotRun();
        if (failure == AttemptFailure.REJECTED && !resuming) {
            endAttempt(false, -1);
            finish(ErrorKind.ENDPOINT_REJECTED.raise(detail));
        } else if (failure.provesNotRun() && !resuming) {
            tryElsewhere();
        } else if (resuming && failure == AttemptFailure.CONNECT_FAILED) {
            reportDeath();
            tryElsewhere();
        } else if (canResume(failure)) {
            resumeStream();
        } else if (failure == AttemptFailure.BROKEN || failure == AttemptFailure.SILENT) {
            state = State.PROBING;
            effects.probe(leg, endpoint);
        } else {
            tryElsewhere();
        }
    }

    public void onProbed(long ofLeg, boolean alive) {
        if (isStale(ofLeg) || state != State.PROBING) {
            return;
        }
        if (!alive) {
            reportDeath();
        }
        tryElsewhere();
    }

    public void onTimer(TimerKind kind, long ofLeg) {
        if (state == State.OVER) {
            return;
        }
        if (kind == TimerKind.DEADLINE) {
            giveUpAtDeadline();
        } else if (state == State.WAITING && ofLeg == leg) {
            judge();
        }
    }

    /**
     * The caller's connection is gone. A keyed run goes on to its end, because its answer is kept for the caller's
     * repeat. Any other run is left: the engine keeps a streamed answer for the grace time, in which a resume may come.
     */
    public void onCallerLeft() {
        if (state == State.OVER || callerLeft) {
            return;
        }
        callerLeft = true;
        if (claimHeld || state == State.CLAIMING) {
            return;
        }
        if (state == State.ADMITTING) {
            effects.report(new AdmissionRequested.Withdrawn(profile.request()));
        }
        leaveEndpoint(profile.streamed() ? profile.resumeGrace() : Duration.ZERO);
        over();
    }

    /**
     * Whether a run that has begun waits and asks again. After a death its prompt runs only under a permit, and the
     * owner of permits has none to give while another run holds it, or for some seconds after it became the owner. The
     * caller has a part of the answer already, so giving up would lose it; the deadline of the request bounds the wait.
     */
    private boolean waitsForPermit(YuccagwException refusal) {
        boolean passes =
                refusal.kind() == ErrorKind.OVERLOADED && refusal.retryAfter().isPresent();
        if (!passes || attemptsMade == 0) {
            return false;
        }
        state = State.WAITING;
        leg++;
        effects.schedule(TimerKind.BACKOFF, leg, refusal.retryAfter().get());
        return true;
    }

    /**
     * Whether a request that surely hasn't run asks again shortly. What an entry knows of endpoints lags: while a swap
     * rolls fast, replicas that have finished loading still seem to load, or to run the older version and then refuse,
     * so that for a moment none seems to serve. A few short waits bridge the lag, after which every endpoint may be
     * tried again; after them the refusal is final and goes out at once.
     */
    private boolean waitsForEndpoint(YuccagwException refusal) {
        boolean mayPass = refusal.kind() == ErrorKind.NO_ENDPOINT && !mayHaveRun;
        if (!mayPass || routeWaits >= MOST_ROUTE_WAITS) {
            return false;
        }
        routeWaits++;
        excluded.clear();
        state = State.WAITING;
        leg++;
        effects.schedule(TimerKind.BACKOFF, leg, ROUTE_WAIT);
        return true;
    }

    private void judge() {
        state = State.JUDGING;
        effects.askQuarantine();
    }

    private void send() {
        state = State.SENDING;
        attemptsMade++;
        leg++;
        legBase = emitted;
        stream = "";
        usage = null;
        sentNanos = effects.nowNanos();
        effects.report(new AttemptReport.Sent(attempt));
        effects.send(leg, attempt, endpoint, text.toString(), emitted);
    }

    private boolean canResume(AttemptFailure failure) {
        boolean connectionOnly = failure == AttemptFailure.BROKEN || failure == AttemptFailure.SILENT;
        return connectionOnly && !stream.isEmpty() && resumesWithoutProgress < MOST_RESUMES_WITHOUT_PROGRESS;
    }

    private void resumeStream() {
        resumesWithoutProgress++;
        state = State.RESUMING;
        leg++;
        effects.resume(leg, endpoint, stream, emitted - legBase);
    }

    private void tryElsewhere() {
        endAttempt(false, -1);
        excluded.add(endpoint.id());
        if (!mayGoElsewhere()) {
            finish(lostError());
            return;
        }
        RetryDecision decision = effects.decideRetry(lastFailure, mayHaveRunBefore, attemptsMade);
        if (decision instanceof RetryDecision.Retry retry) {
            stream = "";
            state = State.WAITING;
            leg++;
            effects.schedule(TimerKind.BACKOFF, leg, retry.delay());
        } else {
            finish(exhaustedError((RetryDecision.GiveUp) decision));
        }
    }

    private boolean mayGoElsewhere() {
        if (!mayHaveRun) {
            return true;
        }
        if (!profile.idempotent()) {
            return false;
        }
        boolean textKnown = profile.resumeAt().isEmpty()
                || profile.resumeAt().get().textSoFar().isPresent();
        return profile.model() ? textKnown : emitted == 0 && !headSent;
    }

    private void reportDeath() {
        lastFailure = AttemptFailure.DIED;
        effects.report(new AttemptObserved(endpoint.id(), endpoint.incarnation(), AttemptObserved.Outcome.DIED));
        effects.report(
                new EndpointDied(profile.fingerprint(), endpoint.id(), endpoint.incarnation(), permit != NO_PERMIT));
    }

    private void noteFirstToken() {
        if (!firstSeen && attempt != NO_ATTEMPT) {
            firstSeen = true;
            long millis = (effects.nowNanos() - sentNanos) / 1_000_000;
            effects.report(new AttemptReport.FirstToken(attempt, millis));
        }
    }

    private Usage overAllAttempts(Usage ofLastAttempt) {
        long answerTokens = Math.max(emitted, ofLastAttempt.answerTokens());
        long promptTokens = ofLastAttempt.promptTokens() - legBase;
        return new Usage(
                Math.max(0, promptTokens), answerTokens, ofLastAttempt.cachedTokens(), ofLastAttempt.finishReason());
    }

    private void giveUpAtDeadline() {
        long millis = profile.answerDeadline().toMillis();
        if (state == State.ADMITTING) {
            effects.report(new AdmissionRequested.Withdrawn(profile.request()));
        }
        mayHaveRun |= state == State.SENDING;
        YuccagwException error =
                mayHaveRun ? ErrorKind.DEADLINE_PASSED.raise(millis) : ErrorKind.OVERLOADED.raise(millis);
        leaveEndpoint(Duration.ZERO);
        finish(error);
    }

    private void leaveEndpoint(Duration grace) {
        if (leg > 0) {
            effects.abandon(leg);
        }
        if (!stream.isEmpty()) {
            effects.cancelStream(endpoint, stream, grace);
        }
        endAttempt(false, -1);
    }

    private YuccagwException routeError(YuccagwException error) {
        boolean begun = emitted > 0 || headSent;
        if (begun && version.isPresent()) {
            return ErrorKind.VERSION_GONE.raise(version.get());
        }
        return mayHaveRun ? lostError() : error;
    }

    private YuccagwException lostError() {
        String detail = lastFailure == null ? lastDetail : lastFailure + ": " + lastDetail;
        if (headSent || emitted > 0) {
            return ErrorKind.STREAM_LOST.raise(detail);
        }
        return mayHaveRun
                ? ErrorKind.ENDPOINT_FAILED.raise(endpoint.id(), detail)
                : ErrorKind.ENDPOINT_REFUSED.raise(endpoint.id(), detail);
    }

    private YuccagwException exhaustedError(RetryDecision.GiveUp decision) {
        boolean budgetSpent = decision.error() == ErrorKind.RETRY_BUDGET_SPENT && !mayHaveRun;
        return budgetSpent ? ErrorKind.RETRY_BUDGET_SPENT.raise(profile.service()) : lostError();
    }

    private void finish(YuccagwException error) {
        endClaim(mayHaveRun ? ClaimEnded.Outcome.UNKNOWN : ClaimEnded.Outcome.NOT_SENT);
        effects.answerError(error);
        over();
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
            effects.report(new AttemptReport.Ended(attempt, answered, cachedTokens, emitted - legBase));
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

    private void over() {
        state = State.OVER;
        if (admitted) {
            admitted = false;
            long used = usage == null ? emitted : usage.promptTokens() + usage.answerTokens();
            effects.report(new AdmissionRequested.Released(profile.request(), used));
        }
        if (permit != NO_PERMIT) {
            returnPermit(permit);
            permit = NO_PERMIT;
        }
        effects.ended();
    }

    private boolean isStale(long ofLeg) {
        return ofLeg != leg || state == State.OVER;
    }
}
