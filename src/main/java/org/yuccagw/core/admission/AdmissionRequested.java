package org.yuccagw.core.admission;

import java.util.Optional;
import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.WorkspaceId;

/**
 * Traffic asks to let a request in. The reply comes exactly once: at once, after a wait in a fair queue, or as an early
 * refusal.
 *
 * @param className request class that counts, from the service or the workspace
 * @param promptTokens estimate of the prompt's size in tokens, 0 for a plain call
 * @param answerTokens most tokens that the answer may have, 0 for a plain call
 * @param reply empty when the request is let in, else WORKSPACE_LIMIT or OVERLOADED with a time to come back
 */
public record AdmissionRequested(
        RequestId request,
        WorkspaceId workspace,
        ServiceName service,
        String className,
        long promptTokens,
        long answerTokens,
        Consumer<Optional<YuccagwException>> reply)
        implements ControlEvent {

    /** A request that was let in ended, with the tokens that it really used. */
    public record Released(RequestId request, long usedTokens) implements ControlEvent {}

    /** The caller left before it was let in; no reply is due any more. */
    public record Withdrawn(RequestId request) implements ControlEvent {}
}
