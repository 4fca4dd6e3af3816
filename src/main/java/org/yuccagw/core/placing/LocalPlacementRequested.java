package org.yuccagw.core.placing;

import org.yuccagw.core.control.ControlEvent;

/** Requests a placement decision by this entry, for its own request or on behalf of another entry. */
public record LocalPlacementRequested(PlacementRequest request) implements ControlEvent {}
