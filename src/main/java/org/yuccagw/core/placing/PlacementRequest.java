package org.yuccagw.core.placing;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.deployment.PermittedRegions;
import org.yuccagw.core.deployment.Route;
import org.yuccagw.core.deployment.WorkspaceAccess;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.prompt.PromptShape;

/**
 * Requests an endpoint for an attempt of a caller's request.
 *
 * @param service selected for the request, the same for all its attempts
 * @param fingerprint equal for requests that may be the same one, sent again by the caller
 * @param excluded endpoints that have already failed this request
 * @param permitted endpoints of which one must be chosen; empty if any may be
 * @param kind whether an earlier attempt reached an endpoint
 * @param pinned the weight version with which its answer started, if one did
 * @param leftMillis time left for the whole answer, in milliseconds
 * @param reply called once, on the control thread
 */
public record PlacementRequest(
        RequestId request,
        Route route,
        ServiceName service,
        Optional<WorkspaceAccess> workspace,
        Optional<PromptShape> prompt,
        String fingerprint,
        ImmutableSet<EndpointId> excluded,
        ImmutableSet<EndpointId> permitted,
        Kind kind,
        OptionalLong pinned,
        long leftMillis,
        Consumer<PlacementDecision> reply)
        implements ControlEvent {

    /** Creates a request for any endpoint that isn't excluded. */
    public PlacementRequest(
            RequestId request,
            Route route,
            ServiceName service,
            Optional<WorkspaceAccess> workspace,
            Optional<PromptShape> prompt,
            String fingerprint,
            ImmutableSet<EndpointId> excluded,
            Kind kind,
            OptionalLong pinned,
            long leftMillis,
            Consumer<PlacementDecision> reply) {
        this(
                request,
                route,
                service,
                workspace,
                prompt,
                fingerprint,
                excluded,
                ImmutableSet.of(),
                kind,
                pinned,
                leftMillis,
                reply);
    }

    /** What preceded this attempt. */
    public enum Kind {
        /** No other attempt. */
        FIRST,
        /** An attempt of which nothing was sent. */
        UNSENT,
        /** An attempt that reached an endpoint, so that this one counts against the retry budget. */
        REPEAT
    }

    /** Returns the same request after some of its time has passed. */
    PlacementRequest afterWaiting(long elapsedMillis) {
        return new PlacementRequest(
                request,
                route,
                service,
                workspace,
                prompt,
                fingerprint,
                excluded,
                permitted,
                kind,
                pinned,
                Math.max(0, leftMillis - elapsedMillis),
                reply);
    }

    /** Returns the same request for an entry that must not count it for the retry budget, since another one does. */
    PlacementRequest countedElsewhere() {
        return new PlacementRequest(
                request,
                route,
                service,
                workspace,
                prompt,
                fingerprint,
                excluded,
                permitted,
                Kind.UNSENT,
                pinned,
                leftMillis,
                reply);
    }

    /** Returns the regions in which the request may be served, by its route and its workspace. */
    PermittedRegions permittedRegions() {
        return route.permittedRegions()
                .intersect(workspace.map(WorkspaceAccess::permittedRegions).orElse(PermittedRegions.ANYWHERE));
    }

    /** Returns whether the request may be placed on the endpoint, whatever its state. */
    boolean permits(EndpointId endpoint) {
        return !excluded.contains(endpoint) && (permitted.isEmpty() || permitted.contains(endpoint));
    }

    boolean isRetry() {
        return kind == Kind.REPEAT;
    }
}
