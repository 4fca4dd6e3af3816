package org.yuccagw.core.quarantine;

import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.error.YuccagwException;

/** Traffic asks, before each attempt, whether this prompt may run. */
public record QuarantineRequested(PromptFingerprint fingerprint, Consumer<Verdict> reply) implements ControlEvent {
    /** How a prompt may run. */
    public interface Verdict {
        record Free() implements Verdict {}

        /** One endpoint died of it: this attempt has the only permit, to be given back with PermitReturned. */
        record Alone(long permit) implements Verdict {}

        record Refused(YuccagwException error) implements Verdict {}
    }

    /** The attempt that ran alone ended. */
    public record PermitReturned(PromptFingerprint fingerprint, long permit) implements ControlEvent {}
}
