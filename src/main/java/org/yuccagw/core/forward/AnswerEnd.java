package org.yuccagw.core.forward;

import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;

/** Ends the answer to the caller, once. */
final class AnswerEnd {
    private final ForwardEffects effects;
    private final AttemptHistory history;
    private boolean headSent;
    private boolean over;

    private AnswerEnd(ForwardEffects effects, AttemptHistory history) {
        this.effects = effects;
        this.history = history;
    }

    static AnswerEnd of(ForwardEffects effects, AttemptHistory history) {
        return new AnswerEnd(effects, history);
    }

    /** Records that the head of an answer has been sent to the caller, so that no error can be. */
    void recordHeadSent() {
        headSent = true;
    }

    boolean isOver() {
        return over;
    }

    /** Ends an answer that was forwarded completely. */
    void complete(int status) {
        finish(effects::answerEnd, "answered " + status);
    }

    /** Ends the request without an answer, because its latest attempt failed in a way that may have run it. */
    void giveUp() {
        giveUp(history.lastFailure(), endpointFailed(), endpointFailed());
    }

    /**
     * Ends the request without an answer of an endpoint.
     *
     * @param detail why, if an answer has started
     * @param ifNotRun the error if no attempt may have run
     */
    void giveUp(String detail, YuccagwException ifNotRun) {
        giveUp(detail, endpointFailed(), ifNotRun);
    }

    /**
     * Ends the request without an answer of an endpoint. An answer that has started is aborted, so that it doesn't
     * appear complete.
     *
     * @param detail why, if an answer has started
     * @param ifMayHaveRun the error if an attempt may have run
     * @param ifNotRun the error if none may have
     */
    void giveUp(String detail, YuccagwException ifMayHaveRun, YuccagwException ifNotRun) {
        if (headSent) {
            finish(effects::abortAnswer, "cut: " + detail);
        } else {
            YuccagwException error = history.mayHaveRun() ? ifMayHaveRun : ifNotRun;
            finish(() -> effects.answerError(error), error.kind().code());
        }
    }

    void callerLeft() {
        finish(() -> {}, "caller left");
    }

    private YuccagwException endpointFailed() {
        return ErrorKind.ENDPOINT_FAILED.raise(history.lastEndpoint(), history.lastFailure());
    }

    /** The answer counts as over before its end is written, since the caller may turn out to have left by that. */
    private void finish(Runnable writeEnd, String outcome) {
        over = true;
        writeEnd.run();
        effects.ended(outcome);
    }
}
