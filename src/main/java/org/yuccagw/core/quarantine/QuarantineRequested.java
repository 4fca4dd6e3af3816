package org.yuccagw.core.quarantine;

import com.google.common.collect.ImmutableSet;
import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.suspect.SuspectPart;

/**
 * Requests the decision whether a prompt may run. Raised by traffic before each attempt.
 *
 * @param parts shared parts of the prompt
 * @param reply called exactly once
 */
public record QuarantineRequested(
        PromptFingerprint fingerprint, ImmutableSet<SuspectPart> parts, Consumer<Decision> reply)
        implements ControlEvent {
    /** The decision on one attempt. */
    public interface Decision {
        /** No endpoint terminated while it ran the prompt: it may run without a permit. */
        record Unrestricted() implements Decision {}

        /**
         * One endpoint terminated while it ran the prompt: this attempt holds the only permit, which must be returned
         * with {@link PermitReturned}.
         */
        record Isolated(long permit) implements Decision {}

        /** The prompt or a part of it is quarantined, or the permit is held by another attempt. */
        record Refused(YuccagwException error) implements Decision {}
    }

    /** Returns the permit of an isolated attempt that has ended. */
    public record PermitReturned(PromptFingerprint fingerprint, long permit) implements ControlEvent {}
}
