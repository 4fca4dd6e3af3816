package org.yuccagw.core.forward;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.deployment.Route;
import org.yuccagw.core.deployment.WorkspaceAccess;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.prompt.PromptShape;

/**
 * What the machine needs to know of a request.
 *
 * @param service picked by the route's weights, the same for all attempts
 * @param patience how long the caller waits for the whole answer
 * @param fingerprint the same for requests that may be the same one, sent again
 * @param afterEvent the event after which the caller wants the stream to go on, {@link #FROM_START} for all of it
 */
public record ForwardRequest(
        RequestId id,
        Route route,
        ServiceName service,
        Optional<WorkspaceAccess> workspace,
        Optional<PromptShape> prompt,
        Duration patience,
        String fingerprint,
        long afterEvent) {
    /** No event was received before. */
    public static final long FROM_START = -1;
}
