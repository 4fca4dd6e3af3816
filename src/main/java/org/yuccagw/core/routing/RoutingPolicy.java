package org.yuccagw.core.routing;

import java.util.Optional;

/** Chooses the endpoint for an attempt. */
@FunctionalInterface
public interface RoutingPolicy {
    /** Returns the placement of the attempt, empty if no candidate is eligible. */
    Optional<Placement> place(RoutingView view);
}
