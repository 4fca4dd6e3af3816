package org.yuccagw.core.admission;

import java.util.Optional;
import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.WorkspaceId;

/**
 * Requests the admission of a request. {@code reply} is called exactly once: immediately, after a wait in a fair queue,
 * or with an early refusal.
 *
 * @param className effective request class, from the service or the workspace
 * @param promptTokens estimated size of the prompt in tokens, 0 for a plain call
 * @param answerTokens maximum size of the answer in tokens, 0 for a plain call
 * @param reply called with an empty value if the request is admitted, otherwise with WORKSPACE_LIMIT or OVERLOADED and
 *     a delay after which to retry
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

    /** An admitted request ended after it used {@code usedTokens} tokens. */
    public record Released(RequestId request, long usedTokens) implements ControlEvent {}

    /** The caller disconnected before the request was admitted. No reply is expected any more. */
    public record Withdrawn(RequestId request) implements ControlEvent {}
}
