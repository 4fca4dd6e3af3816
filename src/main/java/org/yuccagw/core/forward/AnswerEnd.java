package org.yuccagw.core.forward;

import org.yuccagw.core.error.YuccagwException;

/** Ends the answer to the caller, once. */
final class AnswerEnd {
    private final ForwardEffects effects;
    private boolean over;

    private AnswerEnd(ForwardEffects effects) {
        this.effects = effects;
    }

    static AnswerEnd of(ForwardEffects effects) {
        return new AnswerEnd(effects);
    }

    boolean isOver() {
        return over;
    }

    /** Ends an answer that was forwarded completely. */
    void complete(int status) {
        finish(effects::answerEnd, "answered " + status);
    }

    /** Aborts an answer that has started, so that it doesn't appear complete. */
    void abort(String detail) {
        finish(effects::abortAnswer, "cut: " + detail);
    }

    /** Answers with an error. Nothing may have been sent to the caller. */
    void fail(YuccagwException error) {
        finish(() -> effects.answerError(error), error.kind().code());
    }

    void callerLeft() {
        finish(() -> {}, "caller left");
    }

    /** The answer counts as over before its end is written, since the caller may turn out to have left by that. */
    private void finish(Runnable writeEnd, String outcome) {
        over = true;
        writeEnd.run();
        effects.ended(outcome);
    }
}
