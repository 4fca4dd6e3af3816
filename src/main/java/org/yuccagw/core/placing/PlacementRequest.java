package org.yuccagw.core.placing;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.deployment.AllowedRegions;
import org.yuccagw.core.deployment.Route;
import org.yuccagw.core.deployment.WorkspaceAccess;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.prompt.PromptShape;

/**
 * A request of a caller of this entry needs an endpoint.
 *
 * @param service picked for the request, the same for all its attempts
 * @param fingerprint the same for requests that may be the same one, sent again
 * @param excluded endpoints that failed this request before
 * @param kind whether it reached an endpoint before
 * @param pinned the weight version that its answer began with, if one did
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
        Kind kind,
        OptionalLong pinned,
        long leftMillis,
        Consumer<PlacementDecision> reply)
        implements ControlEvent {

    /** What came before this attempt. */
    public enum Kind {
        /** Nothing. */
        FIRST,
        /** An attempt of which nothing was sent. */
        UNSENT,
        /** An attempt that arrived at an endpoint, so that this one spends from the retry budget. */
        REPEAT
    }

    /** The same after some time has passed. */
    PlacementRequest after(long passedMillis) {
        return new PlacementRequest(
                request,
                route,
                service,
                workspace,
                prompt,
                fingerprint,
                excluded,
                kind,
                pinned,
                Math.max(0, leftMillis - passedMillis),
                reply);
    }

    /** Where it may be served, by its route and its workspace. */
    AllowedRegions allowedRegions() {
        return route.allowedRegions()
                .intersect(workspace.map(WorkspaceAccess::allowedRegions).orElse(AllowedRegions.ANYWHERE));
    }

    boolean isRepeat() {
        return kind == Kind.REPEAT;
    }
}
