package org.yuccagw.core.forward;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.deployment.Route;
import org.yuccagw.core.deployment.WorkspaceAccess;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.prompt.PromptShape;
import org.yuccagw.core.stream.EventScanner;

/**
 * The request of a caller, as needed by a {@link ForwardMachine}.
 *
 * @param service service chosen by the weights of the route, the same for all attempts
 * @param callerTimeout time that the caller waits for the complete answer
 * @param fingerprint equal for requests that may be retries of the same request
 * @param afterEvent id of the event after which the stream starts, {@link #FROM_START} for the whole stream
 * @param resumes request whose answer brought the first event of the stream, if the caller names it
 */
public record ForwardRequest(
        RequestId id,
        Route route,
        ServiceName service,
        Optional<WorkspaceAccess> workspace,
        Optional<PromptShape> prompt,
        Duration callerTimeout,
        String fingerprint,
        long afterEvent,
        Optional<RequestId> resumes) {
    /** The caller has received no event of the stream. */
    public static final long FROM_START = EventScanner.NO_ID;

    /**
     * Returns the request that began the stream if the caller takes one up; empty if the request begins a stream. A
     * caller that doesn't name it takes up a stream that nobody knows.
     */
    public Optional<RequestId> takenUp() {
        if (!route.isResumableStream()) {
            return Optional.empty();
        }
        return resumes.or(() -> afterEvent == FROM_START ? Optional.empty() : Optional.of(id));
    }
}
