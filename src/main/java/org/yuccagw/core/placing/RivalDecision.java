package org.yuccagw.core.placing;

import org.yuccagw.core.control.ControlEvent;

/**
 * The events about a decision by this entry on a request that a lead may still decide.
 *
 * <p>The decision isn't sent to the caller directly, since only one of the two may be.
 */
sealed interface RivalDecision extends ControlEvent {
    /** Returns the number under which the request was sent to the lead. */
    long number();

    /** Requests the decision by this entry. */
    record Requested(long number, PlacementRequest request) implements RivalDecision {}

    /** This entry has decided. */
    record Decided(long number, PlacementDecision decision) implements RivalDecision {}
}
