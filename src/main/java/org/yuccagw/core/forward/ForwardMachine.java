package org.yuccagw.core.forward;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.yuccagw.core.deployment.Route;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.placing.AttemptBegun;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.AttemptEnded.End;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest.Kind;
import org.yuccagw.core.port.BodyEnd;

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
 *   <li>Each send of the request is a leg with a number. There is one current leg, whose answer is forwarded, and at
 *       most one replacement. Events of any other leg are ignored.
 *   <li>Silence ends no leg. A leg that is silent, or whose error answer is held, is given up when its replacement
 *       answers, or at the latest {@link #MAX_OVERLAP} after the replacement was delivered. While there is none, it
 *       stays the current leg until the deadline.
 *   <li>A stream that has begun and can be resumed isn't ended by a refusal: while there is no endpoint for it, one is
 *       requested again and again until the deadline.
 *   <li>A resumed stream continues after the last complete event that was forwarded, at the same software version and
 *       with the same weight version, or with a newer one if that one may not be used any more.
 *   <li>A stream is complete only if its last event is, whatever shows the end of the answer.
 * </ul>
 *
 * <p>Example: a resumable stream pauses after event 12. Another endpoint with the same weight version is requested, and
 * the request is sent there with the instruction to continue after event 12. If event 13 arrives from the first
 * endpoint before the second one answers, the second attempt is given up, otherwise the first one. The caller receives
 * event 13 with a delay, as part of the answer that it is already reading.
 */
public final class ForwardMachine {
    /**
     * Two engines mustn't work on one request for more than 400 ms. An engine may notice the end of its connection only
     * after a drain time of 150 ms.
     */
    private static final Duration MAX_OVERLAP = Duration.ofMillis(100);

    private final ForwardRequest request;
    private final Route route;
    private final ForwardEffects effects;
    private final RequestDeadline deadline;
    private final SilenceWatch silenceWatch;
    private final AttemptHistory history;
    private final AnswerBody answerBody;
    private final StreamPin pin;
    private final AnswerEnd answerEnd;
    private final PlacementInquiry inquiry;
    private final Continuation continuation;
    private final AnswerStatistics statistics;
    private final LegPair legs;
    private final BeginLimit beginLimit;

    private boolean holdingError;

    /** The purposes of timers. */
    public enum TimerKind {
        /** The deadline of the request. */
        DEADLINE,
        /** The timeout for the start of the answer to a repeatable request. */
        HEAD,
        /** The time until which a request must have begun on its weights. */
        BEGIN,
        /** The timeout for the next event of a resumable stream. */
        GAP,
        /** The time for which a silent leg is kept beside its replacement. */
        OVERLAP,
        /** The delay before another endpoint is requested for a stream that was refused one. */
        PLACEMENT
    }

    private ForwardMachine(ForwardRequest request, ForwardEffects effects) {
        this.request = request;
        this.route = request.route();
        this.effects = effects;
        this.deadline = RequestDeadline.of(request, effects);
        this.silenceWatch = SilenceWatch.of(route, effects);
        this.history = AttemptHistory.of(route);
        this.answerEnd = AnswerEnd.of(effects, history);
        this.pin = StreamPin.of(request, effects);
        this.inquiry = PlacementInquiry.of(effects, history, pin);
        this.statistics = new AnswerStatistics(effects);
        this.legs = LegPair.of(effects, history, statistics);
        this.beginLimit = BeginLimit.of(effects, legs);
        this.answerBody = AnswerBody.of(request);
        this.continuation = Continuation.of(history, deadline, answerBody, pin);
    }

    public static ForwardMachine of(ForwardRequest request, ForwardEffects effects) {
        return new ForwardMachine(request, effects);
    }

    /** Starts the deadline timer and requests the first placement. */
    public void begin() {
        effects.schedule(TimerKind.DEADLINE, 0, deadline.remaining());
        requestPlacement(Kind.FIRST);
    }

    public boolean isOver() {
        return answerEnd.isOver();
    }

    /** Returns what the answer looked like until now. */
    public AnswerStatistics statistics() {
        return statistics;
    }

    /** Called with the result of a placement request. A placement that is no longer needed is released. */
    public void onPlacementDecision(PlacementDecision decision) {
        inquiry.accept(decision, deadline.remaining()).ifPresent(accepted -> {
            if (accepted instanceof PlacementDecision.Placed chosen) {
                send(chosen);
            } else if (accepted instanceof PlacementDecision.Refused refused) {
                handleRefusal(refused.error());
            }
        });
    }

    /** Called when the connection of a leg is established. */
    public void onDelivery(long ofLeg) {
        legs.find(ofLeg).ifPresent(Leg::recordDelivery);
        if (legs.isReplacement(ofLeg) && !holdingError) {
            effects.schedule(TimerKind.OVERLAP, ofLeg, MAX_OVERLAP);
        }
    }

    /** Called when the head of the answer was received on a leg. */
    public void onHead(long ofLeg, EndpointAnswerHead head) {
        Optional<Leg> found = legs.find(ofLeg);
        if (found.isEmpty()) {
            return;
        }
        Leg leg = found.get();
        statistics.recordReceived();
        leg.noticeIn(head).ifPresent(effects::report);
        if (head.statesNotRun()) {
            handleNotRun(leg, head);
            return;
        }
        history.recordRun(leg);
        Optional<LegFailure> failure = failureOf(leg, head);
        if (failure.isPresent()) {
            handleLegFailure(leg, failure.get().end(), failure.get().detail());
            return;
        }
        legs.endSilence(leg, SilenceOutcome.CONTINUED);
        leg.recordProgress(effects.nowNanos());
        leg.recordHead(head);
        if (route.streamed()) {
            effects.report(new AttemptBegun(leg.placed().ticket()));
        }
        if (legs.isReplacement(ofLeg)) {
            promoteReplacement();
        }
        acceptHead(leg, head);
    }

    /** Returns why the answer can't be used; empty if it can. An error doesn't take the place of the current leg. */
    private Optional<LegFailure> failureOf(Leg leg, EndpointAnswerHead head) {
        if (continuation.isAnswerBegun()) {
            return LegFailure.ofResumed(head, weightsDemandedOf(leg));
        }
        return legs.isReplacement(leg.number()) ? LegFailure.ofReplacement(head) : LegFailure.ofFirst(head);
    }

    /** Returns the weight version with which a leg continues the stream, which may be newer than that of its head. */
    private OptionalLong weightsDemandedOf(Leg leg) {
        OptionalLong demanded = leg.placed().version();
        return demanded.isPresent() ? demanded : pin.weights();
    }

    /** Called when bytes of the answer body were received on a leg. */
    public void onBytes(long ofLeg, ByteBuffer bytes) {
        Optional<Leg> found = legs.current(ofLeg);
        if (found.isEmpty() || !continuation.isAnswerBegun() || holdingError) {
            return;
        }
        Leg leg = found.get();
        statistics.recordReceived();
        if (route.streamed()) {
            leg.pace().recordEvent(effects.nowNanos());
        }
        ByteBuffer forwardable = answerBody.accept(bytes);
        Optional<String> defect = answerBody.defect();
        if (defect.isPresent()) {
            handleLegFailure(leg, End.BROKEN, defect.get());
        } else if (forwardable.hasRemaining()) {
            handleProgress(leg);
            if (answerBody.isResumable()) {
                pin.recordEvents(leg);
            }
            effects.answerBytes(forwardable);
        }
    }

    /**
     * Called when the answer on a leg has ended.
     *
     * @param bodyEnd what showed its end
     */
    public void onEnd(long ofLeg, BodyEnd bodyEnd) {
        legs.current(ofLeg).ifPresent(leg -> {
            leg.recordEnd(bodyEnd);
            handleEnd(leg);
        });
    }

    private void handleEnd(Leg leg) {
        if (holdingError) {
            return;
        }
        BodyEnd bodyEnd = leg.bodyEnd().orElseThrow();
        statistics.recordBodyEnd(bodyEnd, answerBody.lastEvent());
        Optional<String> defect = answerBody.defectAtEnd(bodyEnd);
        if (defect.isPresent()) {
            handleLegFailure(leg, End.BROKEN, defect.get());
        } else {
            stopSeeking();
            legs.endCurrent(leg.isFault() ? End.FAULT : End.ANSWERED);
            answerEnd.complete(leg.head().map(EndpointAnswerHead::status).orElse(0));
        }
    }

    /**
     * Called when a leg failed before the end of its answer.
     *
     * @param end kind of failure, UNREACHED only if no byte of the request was sent
     */
    public void onFailure(long ofLeg, End end, String detail) {
        legs.find(ofLeg).ifPresent(leg -> {
            if (end.mayHaveRun()) {
                history.recordRun(leg);
            }
            handleLegFailure(leg, end, detail);
        });
    }

    /** Called when a timer that was set by {@link ForwardEffects#schedule} expires. */
    public void onTimer(TimerKind kind, long ofLeg) {
        if (isOver()) {
            return;
        }
        switch (kind) {
            case DEADLINE -> handleDeadline();
            case HEAD ->
                legs.find(ofLeg)
                        .filter(leg -> leg.head().isEmpty())
                        .ifPresent(leg -> handleSilence(leg, "no answer began"));
            case GAP ->
                legs.current(ofLeg)
                        .filter(silenceWatch::isSilent)
                        .ifPresent(leg -> handleSilence(leg, "the stream paused"));
            case BEGIN -> endOverdue();
            case OVERLAP -> endOverlap(ofLeg);
            case PLACEMENT -> retryPlacement();
            default -> throw new AssertionError(kind);
        }
    }

    /** Called when reading from endpoints pauses because the caller doesn't keep up. */
    public void onReadingPaused() {
        silenceWatch.pauseReading();
    }

    /** Called when endpoints are read again. */
    public void onReadingResumed() {
        silenceWatch.resumeReading(legs.current());
    }

    /** Called when the caller disconnected. All attempts are abandoned immediately. */
    public void onCallerDisconnected() {
        if (!isOver()) {
            abandonAll();
            answerEnd.callerLeft();
        }
    }

    /** Called when the entry stops and the request can't be continued. */
    public void onStop() {
        if (isOver()) {
            return;
        }
        legs.current().ifPresent(leg -> {
            history.recordRun(leg);
            history.recordFailure(leg, "the entry stops");
        });
        abandonAll();
        answerEnd.giveUp("the entry stops", ErrorKind.STOPPING.raise());
    }

    // ---- Placement and sending

    private void requestPlacement(Kind kind) {
        inquiry.request(kind, deadline.remaining());
    }

    private void send(PlacementDecision.Placed chosen) {
        if (!deadline.permitsAttempt()) {
            inquiry.release(chosen);
            legs.current().ifPresentOrElse(leg -> keepCurrent(), this::handleDeadline);
            return;
        }
        Leg leg = Leg.of(history.recordSend(), chosen, effects.nowNanos());
        legs.add(leg);
        statistics.recordReceived();
        effects.send(
                leg.number(), chosen, deadline.remaining(), answerBody.lastEventId(), history.needsNewConnection());
        if (legs.current(leg.number()).isPresent() || holdingError) {
            silenceWatch.watch(leg);
        }
        beginLimit.watch();
    }

    /** Ends the legs that would begin too late on outdated weights. */
    private void endOverdue() {
        for (Leg leg : beginLimit.overdue()) {
            history.recordRun(leg);
            handleLegFailure(leg, End.LEFT, "not begun in time on outdated weights");
        }
        if (!isOver()) {
            beginLimit.watch();
        }
    }

    private void handleRefusal(YuccagwException error) {
        if (legs.current().isPresent()) {
            keepCurrent();
        } else if (continuation.mayWaitAfter(error, statistics.silence())) {
            if (error.kind() == ErrorKind.NO_ENDPOINT) {
                history.permitFailedOnce();
            }
            waitForEndpoint("refused: " + error.getMessage());
        } else {
            answerEnd.giveUp("no endpoint to go on with: " + error.getMessage(), error);
        }
    }

    /** Keeps the caller until an endpoint accepts the stream, or until the deadline. */
    private void waitForEndpoint(String reason) {
        if (deadline.permitsAttempt()) {
            effects.explain("wait-for-endpoint", reason);
            inquiry.retryLater();
        }
    }

    private void retryPlacement() {
        if (legs.current().isEmpty() && !inquiry.isWanted() && deadline.permitsAttempt()) {
            history.permitExcludedForNow();
            requestPlacement(history.mayHaveArrived() ? Kind.REPEAT : Kind.UNSENT);
        }
    }

    // ---- Replacement of a leg

    /** Handles a leg without progress. It stays the current one, since its endpoint may still go on. */
    private void handleSilence(Leg leg, String detail) {
        leg.recordSilence();
        String pause = detail + " for " + silenceWatch.pauseOf(leg).toMillis() + " ms";
        effects.explain("endpoint-silent", pause + " at " + leg.endpoint());
        history.recordRun(leg);
        history.recordFailure(leg, pause);
        history.excludeForNow(leg.endpoint());
        if (legs.isReplacement(leg.number()) && continuation.mayRetry()) {
            promoteReplacement();
        }
        if (!isSeekingReplacement() && continuation.mayRetry()) {
            requestPlacement(Kind.REPEAT);
        }
    }

    private void handleProgress(Leg leg) {
        boolean wasSilent = leg.isSilent();
        legs.endSilence(leg, SilenceOutcome.CONTINUED);
        leg.recordProgress(effects.nowNanos());
        stopSeeking();
        if (wasSilent) {
            silenceWatch.watch(leg);
        }
    }

    private boolean isSeekingReplacement() {
        return legs.replacement().isPresent() || inquiry.isWanted();
    }

    private void stopSeeking() {
        inquiry.cancel();
        legs.abandonReplacement();
    }

    /** Gives up the current leg, now that its replacement answers or was delivered long enough ago. */
    private void promoteReplacement() {
        Leg previous = legs.current().orElseThrow();
        effects.explain(continuation.isAnswerBegun() ? "resume-elsewhere" : "try-elsewhere", history.lastFailure());
        effects.abandon(previous.number());
        legs.endSilence(previous, SilenceOutcome.REPLACED);
        legs.endCurrent(holdingError ? End.FAULT : End.SILENT);
        holdingError = false;
        answerBody.continueWithOtherLeg();
    }

    private void endOverlap(long ofLeg) {
        if (legs.isReplacement(ofLeg) && !holdingError) {
            promoteReplacement();
            silenceWatch.watch(legs.current().orElseThrow());
        }
    }

    /** Ends a replacement that failed and requests another one if there may be one. */
    private void endReplacement(AttemptEnded ended) {
        legs.endReplacement(ended);
        if (continuation.mayRetry()) {
            requestPlacement(ended.end() == End.UNREACHED ? Kind.UNSENT : Kind.REPEAT);
        } else {
            keepCurrent();
        }
    }

    /** Continues with the current leg, since there is no replacement for it at present. */
    private void keepCurrent() {
        if (holdingError) {
            forwardHeldError();
        } else {
            silenceWatch.watch(legs.current().orElseThrow());
        }
    }

    /** Returns whether the current leg has ended but a replacement for it is there or being sought. */
    private boolean continueWithReplacement() {
        legs.current().ifPresent(silenceWatch::watch);
        return legs.current().isPresent() || inquiry.isWanted();
    }

    // ---- Answers

    private void acceptHead(Leg leg, EndpointAnswerHead head) {
        if (continuation.isAnswerBegun()) {
            stopSeeking();
            pin.recordHead(head);
            silenceWatch.watch(leg);
        } else if (head.isFault() && (isSeekingReplacement() || continuation.mayRetry())) {
            holdError(leg, head);
        } else {
            stopSeeking();
            forwardAnswer(leg, head);
        }
    }

    private void forwardAnswer(Leg leg, EndpointAnswerHead head) {
        boolean unprovenNotRun = head.impliesNotRun();
        if (unprovenNotRun) {
            // The status would imply "not run" although the endpoint did not state it.
            effects.abandon(leg.number());
            history.recordFailure(leg, "status " + head.status());
            legs.endCurrent(End.FAULT);
            answerEnd.giveUp();
            return;
        }
        continuation.recordAnswerBegun();
        answerEnd.recordHeadSent();
        answerBody.begin(head);
        pin.recordHead(head);
        effects.answerHead(leg.number());
        silenceWatch.watch(leg);
    }

    /** Holds the error answer and requests another endpoint. If there is none, the error answer is forwarded. */
    private void holdError(Leg leg, EndpointAnswerHead head) {
        effects.pauseReading(leg.number());
        holdingError = true;
        history.exclude(leg.endpoint());
        history.recordFailure(leg, "status " + head.status());
        legs.replacement().ifPresent(silenceWatch::watch);
        if (!isSeekingReplacement()) {
            requestPlacement(Kind.REPEAT);
        }
    }

    private void forwardHeldError() {
        holdingError = false;
        Leg leg = legs.current().orElseThrow();
        forwardAnswer(leg, leg.head().orElseThrow());
        if (!isOver()) {
            effects.resumeReading(leg.number());
            if (leg.bodyEnd().isPresent()) {
                handleEnd(leg);
            }
        }
    }

    private void handleNotRun(Leg leg, EndpointAnswerHead head) {
        effects.abandon(leg.number());
        End end = head.notRunEnd();
        AttemptEnded ended = leg.ended(end, end == End.WRONG_ENDPOINT ? OptionalLong.empty() : head.version());
        history.recordFailure(leg, "status " + head.status() + ", not run");
        history.recordNotRun(leg);
        if (end != End.WRONG_VERSION) {
            history.excludeForNow(leg.endpoint());
        }
        if (legs.isReplacement(leg.number())) {
            endReplacement(ended);
            return;
        }
        legs.endCurrent(ended);
        if (!continueWithReplacement()) {
            retryAfterNotRun(Kind.REPEAT);
        }
    }

    private void retryAfterNotRun(Kind kind) {
        if (continuation.mayRetryNotRun()) {
            effects.explain("try-elsewhere", history.lastFailure());
            requestPlacement(kind);
        } else if (continuation.mayWaitAfterRejection()) {
            waitForEndpoint(history.lastFailure());
        } else {
            answerEnd.giveUp(history.lastFailure(), ErrorKind.NO_ENDPOINT.raise(request.service()));
        }
    }

    /**
     * Handles the failure of a leg. The first case that applies decides:
     *
     * <ol>
     *   <li>It is the replacement: another one is requested, or the current leg is kept.
     *   <li>There is a replacement, or one is being sought: continue with that.
     *   <li>Nothing was sent: retry on another endpoint, even if the request is not repeatable.
     *   <li>The answer has started and the stream is resumable: continue after the last complete event on another
     *       endpoint or, if the limit of endpoints is reached, on one of those that had the request and haven't failed.
     *   <li>The answer has started otherwise: abort it, so that it does not appear complete.
     *   <li>Nothing was sent to the caller and the request is repeatable: retry on another endpoint, within the limits
     *       of attempts and budget.
     *   <li>Otherwise: answer that the request may have run and that its answer is lost.
     * </ol>
     */
    private void handleLegFailure(Leg leg, End end, String detail) {
        effects.abandon(leg.number());
        history.recordFailure(leg, detail);
        history.exclude(leg.endpoint());
        if (legs.isReplacement(leg.number())) {
            endReplacement(leg.ended(end));
            return;
        }
        legs.endCurrent(holdingError ? End.FAULT : end);
        holdingError = false;
        answerBody.continueWithOtherLeg();
        if (continueWithReplacement()) {
            return;
        }
        if (end == End.UNREACHED) {
            retryAfterNotRun(Kind.UNSENT);
        } else if (continuation.mayRetry()) {
            effects.explain(continuation.isAnswerBegun() ? "resume-elsewhere" : "try-elsewhere", detail);
            requestPlacement(Kind.REPEAT);
        } else if (continuation.mayReturn()) {
            effects.explain("resume-elsewhere", detail);
            requestPlacement(Kind.REPEAT);
        } else {
            answerEnd.giveUp();
        }
    }

    private void handleDeadline() {
        if (holdingError) {
            stopSeeking();
            forwardHeldError();
            return;
        }
        legs.current().ifPresent(history::recordRun);
        abandonAll();
        answerEnd.giveUp(
                "the time of the request is over", deadline.passed(), ErrorKind.NO_ENDPOINT.raise(request.service()));
    }

    // ---- Helpers

    private void abandonAll() {
        inquiry.cancel();
        legs.abandonAll();
    }
}
