package org.yuccagw.core.forward;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;

/**
 * Decides whether a request may go on after a failure or a refusal: on another endpoint, on one that had it before, or
 * later.
 *
 * <p>A refusal is temporary if an endpoint may accept the request later. A request whose answer has not begun doesn't
 * wait for that, since its caller can return. A stream that has begun does, because its caller would lose it.
 */
final class Continuation {
    /** Refusals of requests that no endpoint will accept later either. */
    private static final ImmutableSet<ErrorKind> FINAL_REFUSALS =
            ImmutableSet.of(ErrorKind.SUSPECT_REQUEST, ErrorKind.SOFTWARE_GONE, ErrorKind.STREAM_UNKNOWN);

    /** Callers of streams wait for at least as long for the next event. */
    private static final Duration MAX_VERSION_WAIT = Duration.ofSeconds(2);

    private final AttemptHistory history;
    private final RequestDeadline deadline;
    private final AnswerBody answerBody;
    private final StreamPin pin;
    private boolean answerBegun;

    private Continuation(AttemptHistory history, RequestDeadline deadline, AnswerBody answerBody, StreamPin pin) {
        this.history = history;
        this.deadline = deadline;
        this.answerBody = answerBody;
        this.pin = pin;
    }

    static Continuation of(AttemptHistory history, RequestDeadline deadline, AnswerBody answerBody, StreamPin pin) {
        return new Continuation(history, deadline, answerBody, pin);
    }

    /** Records that the head of an answer has been sent to the caller. */
    void recordAnswerBegun() {
        answerBegun = true;
    }

    boolean isAnswerBegun() {
        return answerBegun;
    }

    /** Returns whether the request may run on another endpoint, after the events that were forwarded. */
    boolean mayRetry() {
        return history.mayRunAgain() && deadline.permitsAttempt() && (!answerBegun || answerBody.isResumable());
    }

    /** Returns whether a request that certainly didn't run at its latest endpoint may be sent to one now. */
    boolean mayRetryNotRun() {
        boolean endpointsLeft =
                !history.isLimitReached() || !history.returnable().isEmpty();
        return history.maySendAgain() && deadline.permitsAttempt() && endpointsLeft;
    }

    /** Returns whether a stream has begun and may return to an endpoint that hasn't failed it. */
    boolean mayReturn() {
        return hasStreamBegun() && !history.returnable().isEmpty() && deadline.permitsAttempt();
    }

    /**
     * Returns whether a stream has begun and may be placed later although it was refused now.
     *
     * @param sinceProgress time since the latest send or the latest bytes
     */
    boolean mayWaitAfter(YuccagwException refusal, Duration sinceProgress) {
        if (FINAL_REFUSALS.contains(refusal.kind())) {
            return false;
        }
        if (mayWaitForItsVersion(refusal) && sinceProgress.compareTo(MAX_VERSION_WAIT) < 0) {
            return true;
        }
        return mayWait(refusal.kind() != ErrorKind.NO_ENDPOINT);
    }

    /** Returns whether all endpoints that could go on with a stream have failed, one of which may come back. */
    private boolean mayWaitForItsVersion(YuccagwException refusal) {
        boolean mayRunOnAny = history.mayRunElsewhere() || !history.returnable().isEmpty();
        return refusal.kind() == ErrorKind.NO_ENDPOINT && pin.isBegun() && mayRunOnAny;
    }

    /** Returns whether a stream has begun and an endpoint that rejected it may accept it later. */
    boolean mayWaitAfterRejection() {
        return mayWait(false);
    }

    private boolean mayWait(boolean temporary) {
        boolean elsewhere = history.mayRunElsewhere() && (temporary || history.hasExcludedForNow());
        return hasStreamBegun() && (elsewhere || !history.returnable().isEmpty());
    }

    private boolean hasStreamBegun() {
        return answerBegun && answerBody.isResumable();
    }
}
