package org.yuccagw.core.forward;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableSet;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.yuccagw.core.deployment.Route;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.notice.EndpointNotice;
import org.yuccagw.core.notice.NoticeReceived;
import org.yuccagw.core.placing.AnswerPace;
import org.yuccagw.core.placing.AttemptBegun;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.AttemptEnded.End;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest.Kind;

/**
 * The state machine of one request, from its placement to the end of its answer. It is deterministic: it receives
 * events by method calls and produces {@link ForwardEffects}, all on one thread.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>The answer to the caller ends exactly once: by {@code answerEnd}, {@code answerError} or {@code abortAnswer},
 *       or because the caller disconnected.
 *   <li>A request that is not repeatable is retried only if it is proven that it did not run: the endpoint stated so,
 *       or no connection was established. It is sent over a new connection, because if a reused connection turns out to
 *       be closed, it is unknown whether the request was read.
 *   <li>A status that implies "not run" is sent to the caller only if no attempt may have run.
 *   <li>Each send of the request is a leg with a number. Events of any leg but the current one are ignored.
 *   <li>A resumed stream continues after the last complete event that was forwarded, with the same weight version.
 * </ul>
 *
 * <p>Example: the connection of a resumable stream breaks after event 12. The failed attempt is reported, and another
 * endpoint with the same weight version is requested. The request is sent there with the instruction to continue after
 * event 12. The caller receives event 13 with a delay, as part of the answer that it is already reading.
 */
public final class ForwardMachine {
    /**
     * A send that cannot have run costs an endpoint almost nothing. If this many sends of a request have failed, no
     * endpoint is expected to accept it.
     */
    private static final int MAX_SENDS = 4;

    /** An attempt with less time than this is not worth starting, since it cannot succeed. */
    private static final Duration MIN_ATTEMPT_TIME = Duration.ofMillis(20);

    /** Multiple of the first-byte target after which a repeatable request without an answer is retried elsewhere. */
    private static final int HEAD_TIMEOUT_TARGETS = 2;

    /**
     * The same multiple for streams. It is higher because a retry discards the prefill of the first engine, and under
     * load the next engine starts it again behind other requests. Callers wait for four times the target.
     */
    private static final int STREAM_HEAD_TIMEOUT_TARGETS = 3;

    /** Multiple of the predicted time to the first byte after which the same retry happens. */
    private static final int HEAD_TIMEOUT_PREDICTIONS = 3;

    /** Multiple of the longest allowed gap between events after which a resumable stream is continued elsewhere. */
    private static final int SILENCE_TIMEOUT_GAPS = 3;

    private static final Duration MIN_SILENCE_TIMEOUT = Duration.ofMillis(350);

    private final ForwardRequest request;
    private final Route route;
    private final ForwardEffects effects;
    private final long deadlineNanos;
    private final Set<EndpointId> excluded = new LinkedHashSet<>();
    private final EventFramer eventFramer;

    private State state = State.NEW;
    private PlacementDecision.Placed placed;
    private EndpointAnswerHead answerHead;
    private OptionalLong pinnedVersion = OptionalLong.empty();
    private long leg;
    private int sends;
    private int runs;
    private boolean mayHaveRun;
    private boolean headSent;
    private boolean heldForRetry;
    private boolean endedWhileHeld;
    private String lastFailure = "";
    private EndpointId lastEndpoint;
    private boolean legRunCounted;
    private long progressNanos;
    private long lastReceivedNanos;
    private boolean silent;
    private PaceRecorder pace;

    private enum State {
        NEW,
        PLACING,
        SENDING,
        STREAMING,
        OVER
    }

    /** The purposes of timers. */
    public enum TimerKind {
        /** The deadline of the request. */
        DEADLINE,
        /** The timeout for the start of the answer to a repeatable request. */
        HEAD,
        /** The timeout for the next event of a resumable stream. */
        GAP
    }

    private ForwardMachine(ForwardRequest request, ForwardEffects effects) {
        this.request = request;
        this.route = request.route();
        this.effects = effects;
        Duration timeout = Comparators.min(request.callerTimeout(), route.timeout());
        this.deadlineNanos = effects.nowNanos() + timeout.toNanos();
        this.lastReceivedNanos = effects.nowNanos();
        this.eventFramer = new EventFramer(request.afterEvent());
    }

    public static ForwardMachine of(ForwardRequest request, ForwardEffects effects) {
        return new ForwardMachine(request, effects);
    }

    /** Starts the deadline timer and requests the first placement. */
    public void begin() {
        effects.schedule(TimerKind.DEADLINE, 0, remaining());
        requestPlacement(Kind.FIRST);
    }

    public boolean isOver() {
        return state == State.OVER;
    }

    /** Returns the times between the events of the latest attempt; empty if it has received none. */
    public Optional<AnswerPace> pace() {
        return Optional.ofNullable(pace).flatMap(PaceRecorder::pace);
    }

    /** Returns the time since the last bytes of an endpoint, or since the send if there were none. */
    public Duration silence() {
        return Duration.ofNanos(effects.nowNanos() - lastReceivedNanos);
    }

    /** Called with the result of a placement request. A placement that is no longer needed is released. */
    public void onPlacementDecision(PlacementDecision decision) {
        if (state != State.PLACING) {
            if (decision instanceof PlacementDecision.Placed late) {
                effects.report(new AttemptEnded(late.ticket(), End.LEFT));
            }
            return;
        }
        if (decision instanceof PlacementDecision.Placed chosen) {
            send(chosen);
        } else if (decision instanceof PlacementDecision.Refused refused) {
            handleRefusal(refused.error());
        }
    }

    /** Called when the head of the answer was received on a leg. */
    public void onHead(long ofLeg, EndpointAnswerHead head) {
        if (isStale(ofLeg)) {
            return;
        }
        lastReceivedNanos = effects.nowNanos();
        reportNotice(head);
        if (head.notRun() || head.isMisdirected()) {
            handleNotRun(head);
            return;
        }
        countRun();
        if (!head.isGenuine()) {
            handleLegFailure(End.BROKEN, "status " + head.status() + " is no answer to this request");
            return;
        }
        answerHead = head;
        if (route.streamed()) {
            effects.report(new AttemptBegun(placed.ticket()));
        }
        if (headSent) {
            handleResumedHead(head);
        } else if (head.isFault() && mayRunAgain() && hasTimeForRetry()) {
            retryBeforeForwarding();
        } else {
            forwardAnswer(head);
        }
    }

    /** Called when bytes of the answer body were received on a leg. */
    public void onBytes(long ofLeg, ByteBuffer bytes) {
        if (isStale(ofLeg) || state != State.STREAMING) {
            return;
        }
        lastReceivedNanos = effects.nowNanos();
        if (route.streamed()) {
            pace.recordEvent(effects.nowNanos());
        }
        if (!framesEvents()) {
            effects.answerBytes(bytes);
            return;
        }
        ByteBuffer completed = eventFramer.accept(bytes);
        if (eventFramer.isTooLarge()) {
            handleLegFailure(End.BROKEN, "an event has no end");
        } else if (completed.hasRemaining()) {
            effects.answerBytes(completed);
            progressNanos = effects.nowNanos();
        }
    }

    /** Called when the answer on a leg is complete. */
    public void onEnd(long ofLeg) {
        if (isStale(ofLeg)) {
            return;
        }
        if (heldForRetry) {
            endedWhileHeld = true;
            return;
        }
        if (framesEvents() && eventFramer.isInsideEvent()) {
            handleLegFailure(End.BROKEN, "the stream ended inside an event");
            return;
        }
        endAttempt(answerHead != null && answerHead.isFault() ? End.FAULT : End.ANSWERED);
        effects.answerEnd();
        finish("answered " + (answerHead == null ? 0 : answerHead.status()));
    }

    /**
     * Called when a leg failed before the end of its answer.
     *
     * @param end kind of failure, UNREACHED only if no byte of the request was sent
     */
    public void onFailure(long ofLeg, End end, String detail) {
        if (!isStale(ofLeg)) {
            if (end.mayHaveRun()) {
                countRun();
            }
            handleLegFailure(end, detail);
        }
    }

    /** Called when a timer that was set by {@link ForwardEffects#schedule} expires. */
    public void onTimer(TimerKind kind, long ofLeg) {
        if (state == State.OVER) {
            return;
        }
        if (kind == TimerKind.DEADLINE) {
            handleDeadline();
        } else if (ofLeg != leg) {
            return;
        } else if (kind == TimerKind.HEAD && state == State.SENDING && !heldForRetry) {
            countRun();
            handleSilence("no answer began in time");
        } else if (kind == TimerKind.GAP && state == State.STREAMING) {
            checkGap();
        }
    }

    /** Called when the caller disconnected. The running attempt is abandoned immediately. */
    public void onCallerDisconnected() {
        if (state == State.OVER) {
            return;
        }
        abandonLeg(End.LEFT);
        finish("caller left");
    }

    // ---- Placement and sending

    private void requestPlacement(Kind kind) {
        state = State.PLACING;
        effects.requestPlacement(ImmutableSet.copyOf(excluded), kind, pinnedVersion, remaining());
    }

    private void send(PlacementDecision.Placed chosen) {
        Duration remainingTime = remaining();
        if (heldForRetry) {
            // Another endpoint was found, so the held error answer is discarded.
            heldForRetry = false;
            endedWhileHeld = false;
            effects.abandon(leg);
            endAttempt(End.FAULT);
        }
        placed = chosen;
        if (remainingTime.compareTo(MIN_ATTEMPT_TIME) < 0) {
            endAttempt(End.LEFT);
            handleDeadline();
            return;
        }
        leg++;
        sends++;
        legRunCounted = false;
        state = State.SENDING;
        answerHead = null;
        endSilence(SilenceOutcome.REPLACED);
        lastReceivedNanos = effects.nowNanos();
        pace = PaceRecorder.start(effects.nowNanos());
        effects.send(leg, chosen, remainingTime, eventFramer.lastId(), needsNewConnection());
        if (route.repeatable()) {
            effects.schedule(TimerKind.HEAD, leg, headTimeout(chosen));
        }
    }

    /**
     * Returns whether the request needs a new connection. A reused connection may lead to an endpoint that is no longer
     * reachable, while a failed connection attempt reveals that immediately. For streams this is worth a new connection
     * each.
     */
    private boolean needsNewConnection() {
        return !route.repeatable() || route.streamed() || sends > 1;
    }

    private Duration headTimeout(PlacementDecision.Placed chosen) {
        Duration targetTimeout =
                route.target().multipliedBy(route.streamed() ? STREAM_HEAD_TIMEOUT_TARGETS : HEAD_TIMEOUT_TARGETS);
        Duration predictionTimeout = Duration.ofMillis(chosen.firstByteMillis() * HEAD_TIMEOUT_PREDICTIONS);
        return Comparators.max(Comparators.max(targetTimeout, predictionTimeout), MIN_SILENCE_TIMEOUT);
    }

    private void handleRefusal(YuccagwException error) {
        if (heldForRetry) {
            forwardHeldAnswer();
        } else if (headSent) {
            abort("no endpoint to go on with: " + error.getMessage());
        } else if (mayHaveRun) {
            fail(ErrorKind.ENDPOINT_FAILED.raise(endpointName(), lastFailure));
        } else {
            fail(error);
        }
    }

    // ---- Answers

    private void forwardAnswer(EndpointAnswerHead head) {
        boolean unprovenNotRun = head.impliesNotRun();
        if (unprovenNotRun) {
            // The status would imply "not run" although the endpoint did not state it.
            effects.abandon(leg);
            endAttempt(End.FAULT);
            fail(ErrorKind.ENDPOINT_FAILED.raise(endpointName(), "status " + head.status()));
            return;
        }
        state = State.STREAMING;
        headSent = true;
        pinnedVersion = head.version();
        effects.answerHead(leg);
        scheduleGap();
    }

    private void handleResumedHead(EndpointAnswerHead head) {
        if (!head.isSuccess()) {
            handleLegFailure(End.FAULT, "status " + head.status() + " to a resumed stream");
            return;
        }
        if (pinnedVersion.isPresent() && !head.version().equals(pinnedVersion)) {
            handleLegFailure(End.WRONG_VERSION, "the resumed stream has other weights");
            return;
        }
        state = State.STREAMING;
        scheduleGap();
    }

    /** Holds the error answer and requests another endpoint. If there is none, the error answer is forwarded. */
    private void retryBeforeForwarding() {
        effects.pauseReading(leg);
        heldForRetry = true;
        excluded.add(placed.endpoint().id());
        lastFailure = "status " + answerHead.status();
        effects.explain("try-elsewhere", lastFailure);
        requestPlacement(Kind.REPEAT);
    }

    private void forwardHeldAnswer() {
        heldForRetry = false;
        EndpointAnswerHead heldHead = answerHead;
        state = State.SENDING;
        forwardAnswer(heldHead);
        if (state == State.STREAMING) {
            effects.resumeReading(leg);
            if (endedWhileHeld) {
                onEnd(leg);
            }
        }
    }

    private void handleNotRun(EndpointAnswerHead head) {
        effects.abandon(leg);
        End end = head.isMisdirected() ? (head.fromOtherEndpoint() ? End.WRONG_ENDPOINT : End.WRONG_VERSION) : End.SHED;
        endAttempt(end, end == End.WRONG_ENDPOINT ? OptionalLong.empty() : head.version());
        lastFailure = "status " + head.status() + ", not run";
        if (end != End.WRONG_VERSION) {
            excluded.add(lastEndpoint);
        }
        retryAfterNotRun(true);
    }

    private void retryAfterNotRun(boolean reachedEndpoint) {
        if (sends < MAX_SENDS && hasTimeForRetry()) {
            effects.explain("try-elsewhere", lastFailure);
            requestPlacement(reachedEndpoint ? Kind.REPEAT : Kind.UNSENT);
        } else if (headSent) {
            abort(lastFailure);
        } else if (mayHaveRun) {
            fail(ErrorKind.ENDPOINT_FAILED.raise(endpointName(), lastFailure));
        } else {
            fail(ErrorKind.NO_ENDPOINT.raise(request.service()));
        }
    }

    /**
     * Handles the failure of the current leg. The first case that applies decides:
     *
     * <ol>
     *   <li>An error answer is held for the caller: its body can no longer be read, so this failure is reported instead
     *       if there is no other endpoint.
     *   <li>Nothing was sent: retry on another endpoint, even if the request is not repeatable.
     *   <li>The answer has started and the stream is resumable: continue on another endpoint after the last complete
     *       event.
     *   <li>The answer has started otherwise: abort it, so that it does not appear complete.
     *   <li>Nothing was sent to the caller and the request is repeatable: retry on another endpoint, within the limits
     *       of attempts and budget.
     *   <li>Otherwise: answer that the request may have run and that its answer is lost.
     * </ol>
     */
    private void handleLegFailure(End end, String detail) {
        effects.abandon(leg);
        lastFailure = detail;
        if (heldForRetry) {
            heldForRetry = false;
            endAttempt(End.FAULT);
            return;
        }
        endAttempt(end);
        excluded.add(lastEndpoint);
        if (end == End.UNREACHED) {
            retryAfterNotRun(false);
            return;
        }
        if (headSent) {
            eventFramer.discardPartial();
            resumeOrAbort(detail);
        } else if (mayRunAgain() && hasTimeForRetry()) {
            effects.explain("try-elsewhere", detail);
            requestPlacement(Kind.REPEAT);
        } else {
            fail(ErrorKind.ENDPOINT_FAILED.raise(endpointName(), detail));
        }
    }

    private void resumeOrAbort(String detail) {
        if (framesEvents() && mayRunAgain() && hasTimeForRetry()) {
            effects.explain("resume-elsewhere", detail + ", after event " + eventFramer.lastId());
            requestPlacement(Kind.REPEAT);
        } else {
            abort(detail);
        }
    }

    private void handleDeadline() {
        mayHaveRun |= state == State.SENDING;
        abandonLeg(End.LEFT);
        if (headSent) {
            abort("the time of the request is over");
        } else if (mayHaveRun) {
            fail(ErrorKind.DEADLINE_PASSED.raise(
                    Comparators.min(request.callerTimeout(), route.timeout()).toMillis()));
        } else {
            fail(ErrorKind.NO_ENDPOINT.raise(request.service()));
        }
    }

    // ---- Helpers

    private void reportNotice(EndpointAnswerHead head) {
        EndpointNotice notice = head.notice();
        boolean limitStated = notice.rateLimit().isPresent() || head.isGenuine();
        boolean limitKnownAtPlacement = placed.rateLimited() && limitStated;
        if (head.isOfExpectedEndpoint() && (notice.hasContent() || limitKnownAtPlacement)) {
            EndpointIncarnation endpoint = placed.endpoint().incarnation();
            effects.report(new NoticeReceived(endpoint, notice, limitKnownAtPlacement));
        }
    }

    private boolean mayRunAgain() {
        return route.repeatable() && runs < route.attemptLimit() && sends < MAX_SENDS;
    }

    private boolean hasTimeForRetry() {
        return remaining().compareTo(MIN_ATTEMPT_TIME) > 0;
    }

    private boolean framesEvents() {
        return route.streamed() && route.resumable();
    }

    /** Counts the current leg once as an attempt that may have run. */
    private void countRun() {
        mayHaveRun = true;
        if (!legRunCounted) {
            legRunCounted = true;
            runs++;
        }
    }

    private void scheduleGap() {
        progressNanos = effects.nowNanos();
        if (framesEvents()) {
            effects.schedule(TimerKind.GAP, leg, silenceTimeout());
        }
    }

    /**
     * Checks the time since the last event. There is one gap timer per leg, which is set again for the remaining time.
     */
    private void checkGap() {
        Duration pause = Duration.ofNanos(effects.nowNanos() - progressNanos);
        Duration remainingPause = silenceTimeout().minus(pause);
        if (remainingPause.isNegative() || remainingPause.isZero()) {
            handleSilence("the stream paused for " + pause.toMillis() + " ms");
        } else {
            effects.schedule(TimerKind.GAP, leg, remainingPause);
        }
    }

    private void handleSilence(String detail) {
        effects.explain("endpoint-silent", detail + " at " + placed.endpoint().id());
        silent = true;
        handleLegFailure(End.SILENT, detail);
    }

    private void endSilence(SilenceOutcome outcome) {
        if (silent) {
            silent = false;
            effects.reportSilence(outcome);
        }
    }

    private Duration silenceTimeout() {
        return Comparators.max(route.maxGap().multipliedBy(SILENCE_TIMEOUT_GAPS), MIN_SILENCE_TIMEOUT);
    }

    private void abandonLeg(End end) {
        if (state == State.SENDING || state == State.STREAMING || heldForRetry) {
            effects.abandon(leg);
            endAttempt(end);
        }
    }

    private void endAttempt(End end) {
        endAttempt(end, answerHead == null ? OptionalLong.empty() : answerHead.version());
    }

    private void endAttempt(End end, OptionalLong version) {
        if (placed != null) {
            effects.report(new AttemptEnded(placed.ticket(), end, version, pace()));
            lastEndpoint = placed.endpoint().id();
            placed = null;
        }
    }

    private String endpointName() {
        return lastEndpoint == null ? "none" : lastEndpoint.value();
    }

    private void abort(String detail) {
        effects.abortAnswer();
        finish("cut: " + detail);
    }

    private void fail(YuccagwException error) {
        effects.answerError(error);
        finish(error.kind().code());
    }

    private void finish(String outcome) {
        state = State.OVER;
        endSilence(SilenceOutcome.UNANSWERED);
        effects.ended(outcome);
    }

    private boolean isStale(long ofLeg) {
        return ofLeg != leg || state == State.OVER || (state == State.PLACING && !heldForRetry);
    }

    private Duration remaining() {
        return Duration.ofNanos(Math.max(0, deadlineNanos - effects.nowNanos()));
    }
}
