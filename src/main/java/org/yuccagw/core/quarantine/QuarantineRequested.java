package org.yuccagw.core.quarantine;

import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.error.YuccagwException;

/**
 * Requests the decision whether a prompt may run. Raised by traffic before each attempt.
 *
 * @param reply called exactly once
 */
public record QuarantineRequested(PromptFingerprint fingerprint, Consumer<Decision> reply) implements ControlEvent {
    /** The decision on one attempt. */
    public interface Decision {
        /** No endpoint terminated while it ran the prompt: it may run without a permit. */
        record Unrestricted() implements Decision {}

        /**
         * One endpoint terminated while it ran the prompt: this attempt holds the only permit, which must be returned
         * with {@link PermitReturned}.
         */
        record Isolated(long permit) implements Decision {}

        /** The prompt is quarantined, or the permit is held by another attempt. */
        record Refused(YuccagwException error) implements Decision {}
    }

    /** Returns the permit of an isolated attempt that has ended. */
    public record PermitReturned(PromptFingerprint fingerprint, long permit) implements ControlEvent {}
}
