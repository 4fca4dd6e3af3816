package org.yuccagw.core.claim;

import java.util.Optional;
import org.yuccagw.core.claim.ClaimDecision.KeptAnswer;
import org.yuccagw.core.control.ControlEvent;

/**
 * Raised by traffic when the run under a granted claim has ended.
 *
 * @param outcome what is known about the run
 * @param answer the whole answer, if the outcome is ANSWERED and it is small enough to retain
 */
public record ClaimEnded(Claim claim, Outcome outcome, Optional<KeptAnswer> answer) implements ControlEvent {
    /** What is known about the run. */
    public enum Outcome {
        /** Not one byte was sent to an endpoint: the key may be claimed again. */
        NOT_SENT,
        /** The whole answer passed through this entry. */
        ANSWERED,
        /** The request may have run; no whole answer is known. */
        UNKNOWN
    }
}
