package org.yuccagw.core.forward;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableSet;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.OptionalLong;
import java.util.Set;
import org.yuccagw.core.deployment.Route;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.notice.EndpointNotice;
import org.yuccagw.core.notice.NoticeReceived;
import org.yuccagw.core.placing.AttemptBegun;
import org.yuccagw.core.placing.AttemptEnded;
import org.yuccagw.core.placing.AttemptEnded.End;
import org.yuccagw.core.placing.PlacementDecision;
import org.yuccagw.core.placing.PlacementRequest.Kind;

/**
 * One request: placed, sent, answered. Deterministic: events in by its methods, effects out, all on one thread.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>The caller gets exactly one end: {@code answerEnd}, {@code answerError}, {@code cut}, or it left.
 *   <li>A request that isn't retryable is sent again only after proof that it did not run: the endpoint said so, or no
 *       connection came about. It is sent over a connection opened for it, because on a kept one that turns out closed
 *       nobody can tell whether it was read.
 *   <li>A status that promises "not run" reaches the caller only if no attempt may have run.
 *   <li>Each send is a leg with a number; what arrives on any leg but the present one is ignored.
 *   <li>A resumed stream goes on after the last whole event that was passed on, with the same weights.
 * </ul>
 *
 * <p>Example: a resumable stream breaks after event 12. The attempt is reported, another endpoint is asked for with the
 * same weights, and the request is sent there with "after 12"; the caller sees event 13 a little late, under the head
 * of the first answer.
 */
public final class ForwardMachine {
    /** Sends that can't have run cost an endpoint nothing but a look; more than this means that none can take it. */
    private static final int MOST_SENDS = 4;

    /** An attempt that gets less time than this can't end well. */
    private static final Duration LEAST_USEFUL = Duration.ofMillis(20);

    /** A retryable request whose answer hasn't begun after so many times its target is tried elsewhere. */
    private static final int TARGETS_TO_HEAD = 2;

    /**
     * The same for streams. What an engine did for a prompt is lost with it, and under load the next engine begins anew
     * behind others; callers wait for four targets.
     */
    private static final int TARGETS_TO_STREAM_HEAD = 3;

    private static final int PREDICTIONS_TO_HEAD = 3;

    /** A resumable stream that pauses so many times longer than allowed is continued elsewhere. */
    private static final int GAPS_TO_SILENCE = 3;

    private static final Duration SHORTEST_SILENCE = Duration.ofMillis(350);

    private final ForwardRequest request;
    private final Route route;
    private final ForwardEffects effects;
    private final long endNanos;
    private final Set<EndpointId> excluded = new LinkedHashSet<>();
    private final EventCutter events;

    private State state = State.NEW;
    private PlacementDecision.Placed placed;
    private AnswerStart start;
    private OptionalLong pinned = OptionalLong.empty();
    private long leg;
    private int sends;
    private int runs;
    private boolean mayHaveRun;
    private boolean headSent;
    private boolean heldForRetry;
    private boolean endedWhileHeld;
    private String lastTrouble = "";
    private EndpointId lastEndpoint;
    private boolean legCounted;
    private long progressNanos;

    private enum State {
        NEW,
        PLACING,
        SENDING,
        STREAMING,
        OVER
    }

    /** What a timer is for. */
    public enum TimerKind {
        /** The time of the request is over. */
        DEADLINE,
        /** The answer of a retryable request hasn't begun in time. */
        HEAD,
        /** A resumable stream may have fallen silent. */
        GAP
    }

    private ForwardMachine(ForwardRequest request, ForwardEffects effects) {
        this.request = request;
        this.route = request.route();
        this.effects = effects;
        Duration time = Comparators.min(request.patience(), route.timeout());
        this.endNanos = effects.nowNanos() + time.toNanos();
        this.events = new EventCutter(request.afterEvent());
    }

    public static ForwardMachine of(ForwardRequest request, ForwardEffects effects) {
        return new ForwardMachine(request, effects);
    }

    public void begin() {
        effects.schedule(TimerKind.DEADLINE, 0, left());
        askPlace(Kind.FIRST);
    }

    public boolean isOver() {
        return state == State.OVER;
    }

    public void onPlaced(PlacementDecision decision) {
        if (state != State.PLACING) {
            if (decision instanceof PlacementDecision.Placed late) {
                effects.report(new AttemptEnded(late.ticket(), End.LEFT));
            }
            return;
        }
        if (decision instanceof PlacementDecision.Placed chosen) {
            send(chosen);
        } else if (decision instanceof PlacementDecision.Refused refused) {
            onRefused(refused.error());
        }
    }

    public void onHead(long ofLeg, AnswerStart head) {
        if (isStale(ofLeg)) {
            return;
        }
        noteNotice(head);
        if (head.notRun() || head.isMisdirected()) {
            onNotRun(head);
            return;
        }
        countRun();
        if (!head.isGenuine()) {
            onTrouble(End.BROKEN, "status " + head.status() + " is no answer to this request");
            return;
        }
        start = head;
        if (route.streamed()) {
            effects.report(new AttemptBegun(placed.ticket()));
        }
        if (headSent) {
            onResumedHead(head);
        } else if (head.isFault() && mayRunAgain() && timeForAnother()) {
            tryElsewhereBeforePassingOn();
        } else {
            passOn(head);
        }
    }

    public void onBytes(long ofLeg, ByteBuffer bytes) {
        if (isStale(ofLeg) || state != State.STREAMING) {
            return;
        }
        if (!cutsEvents()) {
            effects.answerBytes(bytes);
            return;
        }
        ByteBuffer whole = events.accept(bytes);
        if (events.isTooLarge()) {
            onTrouble(End.BROKEN, "an event has no end");
        } else if (whole.hasRemaining()) {
            effects.answerBytes(whole);
            progressNanos = effects.nowNanos();
        }
    }

    /** The answer of the leg is whole. */
    public void onEnd(long ofLeg) {
        if (isStale(ofLeg)) {
            return;
        }
        if (heldForRetry) {
            endedWhileHeld = true;
            return;
        }
        if (cutsEvents() && events.isInsideEvent()) {
            onTrouble(End.BROKEN, "the stream ended inside an event");
            return;
        }
        endAttempt(start != null && start.isFault() ? End.FAULT : End.ANSWERED);
        effects.answerEnd();
        over("answered " + (start == null ? 0 : start.status()));
    }

    /**
     * The leg failed before its end.
     *
     * @param end UNREACHED only if not one byte of the request was sent
     */
    public void onFailure(long ofLeg, End end, String detail) {
        if (!isStale(ofLeg)) {
            if (end.mayHaveRun()) {
                countRun();
            }
            onTrouble(end, detail);
        }
    }

    public void onTimer(TimerKind kind, long ofLeg) {
        if (state == State.OVER) {
            return;
        }
        if (kind == TimerKind.DEADLINE) {
            onDeadline();
        } else if (ofLeg != leg) {
            return;
        } else if (kind == TimerKind.HEAD && state == State.SENDING && !heldForRetry) {
            countRun();
            onTrouble(End.SILENT, "no answer began in time");
        } else if (kind == TimerKind.GAP && state == State.STREAMING) {
            lookAtGap();
        }
    }

    /** The caller is gone: whatever runs for it is given up at once. */
    public void onCallerLeft() {
        if (state == State.OVER) {
            return;
        }
        abandonLeg(End.LEFT);
        over("caller left");
    }

    // ---- Placing and sending.

    private void askPlace(Kind kind) {
        state = State.PLACING;
        effects.askPlace(ImmutableSet.copyOf(excluded), kind, pinned, left());
    }

    private void send(PlacementDecision.Placed chosen) {
        Duration time = left();
        if (heldForRetry) {
            // The other endpoint is there: the fault that was kept back is not needed any more.
            heldForRetry = false;
            endedWhileHeld = false;
            effects.abandon(leg);
            endAttempt(End.FAULT);
        }
        placed = chosen;
        if (time.compareTo(LEAST_USEFUL) < 0) {
            endAttempt(End.LEFT);
            onDeadline();
            return;
        }
        leg++;
        sends++;
        legCounted = false;
        state = State.SENDING;
        start = null;
        effects.send(leg, chosen, time, events.lastId(), needsOwnConnection());
        if (route.retryable()) {
            effects.schedule(TimerKind.HEAD, leg, headPatience(chosen));
        }
    }

    /**
     * Whether a kept connection is too risky: it may lead to an endpoint that has gone dark, which only a connection
     * that doesn't come about shows at once. For streams that is worth a new one each.
     */
    private boolean needsOwnConnection() {
        return !route.retryable() || route.streamed() || sends > 1;
    }

    private Duration headPatience(PlacementDecision.Placed chosen) {
        Duration byTarget = route.target().multipliedBy(route.streamed() ? TARGETS_TO_STREAM_HEAD : TARGETS_TO_HEAD);
        Duration byPrediction = Duration.ofMillis(chosen.firstByteMillis() * PREDICTIONS_TO_HEAD);
        return Comparators.max(Comparators.max(byTarget, byPrediction), SHORTEST_SILENCE);
    }

    private void onRefused(YuccagwException error) {
        if (heldForRetry) {
            passOnHeld();
        } else if (headSent) {
            cut("no endpoint to go on with: " + error.getMessage());
        } else if (mayHaveRun) {
            fail(ErrorKind.ENDPOINT_FAILED.raise(endpointName(), lastTrouble));
        } else {
            fail(error);
        }
    }

    // ---- Answers.

    private void passOn(AnswerStart head) {
        boolean lies = head.promisesNotRun();
        if (lies) {
            // The endpoint's status would promise "not run" without its word for it.
            effects.abandon(leg);
            endAttempt(End.FAULT);
            fail(ErrorKind.ENDPOINT_FAILED.raise(endpointName(), "status " + head.status()));
            return;
        }
        state = State.STREAMING;
        headSent = true;
        pinned = head.version();
        effects.answerHead(leg);
        scheduleGap();
    }

    private void onResumedHead(AnswerStart head) {
        if (!head.isSuccess()) {
            onTrouble(End.FAULT, "status " + head.status() + " to a resumed stream");
            return;
        }
        if (pinned.isPresent() && !head.version().equals(pinned)) {
            onTrouble(End.WRONG_VERSION, "the resumed stream has other weights");
            return;
        }
        state = State.STREAMING;
        scheduleGap();
    }

    /** Keeps the fault back and asks for another endpoint; if there is none, the fault is the answer. */
    private void tryElsewhereBeforePassingOn() {
        effects.hold(leg);
        heldForRetry = true;
        excluded.add(placed.endpoint().id());
        lastTrouble = "status " + start.status();
        effects.explain("try-elsewhere", lastTrouble);
        askPlace(Kind.REPEAT);
    }

    private void passOnHeld() {
        heldForRetry = false;
        AnswerStart head = start;
        state = State.SENDING;
        passOn(head);
        if (state == State.STREAMING) {
            effects.readOn(leg);
            if (endedWhileHeld) {
                onEnd(leg);
            }
        }
    }

    private void onNotRun(AnswerStart head) {
        effects.abandon(leg);
        End end = head.isMisdirected() ? (head.fromOther() ? End.WRONG_ENDPOINT : End.WRONG_VERSION) : End.SHED;
        endAttempt(end, end == End.WRONG_ENDPOINT ? OptionalLong.empty() : head.version());
        lastTrouble = "status " + head.status() + ", not run";
        if (end != End.WRONG_VERSION) {
            excluded.add(lastEndpoint);
        }
        afterNotRun(true);
    }

    private void afterNotRun(boolean arrived) {
        if (sends < MOST_SENDS && timeForAnother()) {
            effects.explain("try-elsewhere", lastTrouble);
            askPlace(arrived ? Kind.REPEAT : Kind.UNSENT);
        } else if (headSent) {
            cut(lastTrouble);
        } else if (mayHaveRun) {
            fail(ErrorKind.ENDPOINT_FAILED.raise(endpointName(), lastTrouble));
        } else {
            fail(ErrorKind.NO_ENDPOINT.raise(request.service()));
        }
    }

    /**
     * The present leg came to nothing. The cases, in this order:
     *
     * <ol>
     *   <li>A fault is kept back for the caller: its body can't be had any more, so this is the failure to tell.
     *   <li>Nothing was sent: another endpoint may try, also for a request that isn't retryable.
     *   <li>The answer has begun and the stream can be resumed: go on elsewhere after the last whole event.
     *   <li>The answer has begun otherwise: cut it, so that it can't look whole.
     *   <li>Nothing reached the caller and the request is retryable: another endpoint, within attempts and budget.
     *   <li>Else it may have run and its answer is lost: say so.
     * </ol>
     */
    private void onTrouble(End end, String detail) {
        effects.abandon(leg);
        lastTrouble = detail;
        if (heldForRetry) {
            heldForRetry = false;
            endAttempt(End.FAULT);
            return;
        }
        endAttempt(end);
        excluded.add(lastEndpoint);
        if (end == End.UNREACHED) {
            afterNotRun(false);
            return;
        }
        if (headSent) {
            events.dropPartial();
            goOnOrCut(detail);
        } else if (mayRunAgain() && timeForAnother()) {
            effects.explain("try-elsewhere", detail);
            askPlace(Kind.REPEAT);
        } else {
            fail(ErrorKind.ENDPOINT_FAILED.raise(endpointName(), detail));
        }
    }

    private void goOnOrCut(String detail) {
        if (cutsEvents() && mayRunAgain() && timeForAnother()) {
            effects.explain("resume-elsewhere", detail + ", after event " + events.lastId());
            askPlace(Kind.REPEAT);
        } else {
            cut(detail);
        }
    }

    private void onDeadline() {
        mayHaveRun |= state == State.SENDING;
        abandonLeg(End.LEFT);
        if (headSent) {
            cut("the time of the request is over");
        } else if (mayHaveRun) {
            fail(ErrorKind.DEADLINE_PASSED.raise(
                    Comparators.min(request.patience(), route.timeout()).toMillis()));
        } else {
            fail(ErrorKind.NO_ENDPOINT.raise(request.service()));
        }
    }

    // ---- Small helpers.

    private void noteNotice(AnswerStart head) {
        EndpointNotice notice = head.notice();
        boolean tellsOfLimit = notice.rateLimit().isPresent() || head.isGenuine();
        boolean limitForeseen = placed.rateLimited() && tellsOfLimit;
        if (head.isOfExpectedEndpoint() && (notice.saysSomething() || limitForeseen)) {
            EndpointIncarnation endpoint = placed.endpoint().incarnation();
            effects.report(new NoticeReceived(endpoint, notice, limitForeseen));
        }
    }

    private boolean mayRunAgain() {
        return route.retryable() && runs < route.maxAttempts() && sends < MOST_SENDS;
    }

    private boolean timeForAnother() {
        return left().compareTo(LEAST_USEFUL) > 0;
    }

    private boolean cutsEvents() {
        return route.streamed() && route.resumable();
    }

    /** Counts the present leg among those that may have run. */
    private void countRun() {
        mayHaveRun = true;
        if (!legCounted) {
            legCounted = true;
            runs++;
        }
    }

    private void scheduleGap() {
        progressNanos = effects.nowNanos();
        if (cutsEvents()) {
            effects.schedule(TimerKind.GAP, leg, silence());
        }
    }

    /** One timer a leg: it looks how long ago the last event came, and waits for the rest. */
    private void lookAtGap() {
        Duration paused = Duration.ofNanos(effects.nowNanos() - progressNanos);
        Duration rest = silence().minus(paused);
        if (rest.isNegative() || rest.isZero()) {
            onTrouble(End.SILENT, "the stream paused for " + paused.toMillis() + " ms");
        } else {
            effects.schedule(TimerKind.GAP, leg, rest);
        }
    }

    private Duration silence() {
        return Comparators.max(route.maxGap().multipliedBy(GAPS_TO_SILENCE), SHORTEST_SILENCE);
    }

    private void abandonLeg(End end) {
        if (state == State.SENDING || state == State.STREAMING || heldForRetry) {
            effects.abandon(leg);
            endAttempt(end);
        }
    }

    private void endAttempt(End end) {
        endAttempt(end, start == null ? OptionalLong.empty() : start.version());
    }

    private void endAttempt(End end, OptionalLong version) {
        if (placed != null) {
            effects.report(new AttemptEnded(placed.ticket(), end, version));
            lastEndpoint = placed.endpoint().id();
            placed = null;
        }
    }

    private String endpointName() {
        return lastEndpoint == null ? "none" : lastEndpoint.value();
    }

    private void cut(String detail) {
        effects.cut();
        over("cut: " + detail);
    }

    private void fail(YuccagwException error) {
        effects.answerError(error);
        over(error.kind().code());
    }

    private void over(String outcome) {
        state = State.OVER;
        effects.ended(outcome);
    }

    private boolean isStale(long ofLeg) {
        return ofLeg != leg || state == State.OVER || (state == State.PLACING && !heldForRetry);
    }

    private Duration left() {
        return Duration.ofNanos(Math.max(0, endNanos - effects.nowNanos()));
    }
}
