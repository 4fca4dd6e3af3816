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
        effects.answerEnd();
        finish("answered " + status);
    }

    /** Aborts an answer that has started, so that it doesn't appear complete. */
    void abort(String detail) {
        effects.abortAnswer();
        finish("cut: " + detail);
    }

    /** Answers with an error. Nothing may have been sent to the caller. */
    void fail(YuccagwException error) {
        effects.answerError(error);
        finish(error.kind().code());
    }

    void callerLeft() {
        finish("caller left");
    }

    private void finish(String outcome) {
        over = true;
        effects.ended(outcome);
    }
}
