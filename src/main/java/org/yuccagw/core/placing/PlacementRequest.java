package org.yuccagw.core.placing;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.deployment.PermittedRegions;
import org.yuccagw.core.deployment.Route;
import org.yuccagw.core.deployment.WorkspaceAccess;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.origin.StreamOrigin;
import org.yuccagw.core.prompt.PromptShape;

/**
 * Requests an endpoint for an attempt of a caller's request.
 *
 * @param service selected for the request, the same for all its attempts
 * @param fingerprint equal for requests that may be the same one, sent again by the caller
 * @param excluded endpoints that have already failed this request
 * @param permitted endpoints of which one must be chosen; empty if any may be
 * @param kind whether an earlier attempt reached an endpoint
 * @param continuation what the part of the answer that the caller has received requires
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
        StreamContinuation continuation,
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
            StreamContinuation continuation,
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
                continuation,
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
        return copy(service, kind, continuation, Math.max(0, leftMillis - elapsedMillis));
    }

    /** Returns the same request for an entry that must not count it for the retry budget, since another one does. */
    PlacementRequest countedElsewhere() {
        return copy(service, Kind.UNSENT, continuation, leftMillis);
    }

    /** Returns the same request for the service and the software version that began its stream. */
    PlacementRequest continuing(StreamOrigin origin) {
        return copy(origin.service(), kind, continuation.withSoftware(origin.software()), leftMillis);
    }

    private PlacementRequest copy(
            ServiceName newService, Kind newKind, StreamContinuation newContinuation, long newLeftMillis) {
        return new PlacementRequest(
                request,
                route,
                newService,
                workspace,
                prompt,
                fingerprint,
                excluded,
                permitted,
                newKind,
                newContinuation,
                newLeftMillis,
                reply);
    }

    /** Returns the regions in which the request may be served, by its route and its workspace. */
    PermittedRegions permittedRegions() {
        return route.permittedRegions()
                .intersect(workspace.map(WorkspaceAccess::permittedRegions).orElse(PermittedRegions.ANYWHERE));
    }

    /** Returns whether the request may be placed on the endpoint, whatever its state. */
    boolean permits(ListedEndpoint endpoint) {
        EndpointId id = endpoint.id();
        boolean permittedById = !excluded.contains(id) && (permitted.isEmpty() || permitted.contains(id));
        return permittedById && continuation.permits(endpoint);
    }

    boolean isRetry() {
        return kind == Kind.REPEAT;
    }
}
