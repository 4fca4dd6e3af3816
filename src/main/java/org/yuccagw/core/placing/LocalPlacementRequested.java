package org.yuccagw.core.placing;

import org.yuccagw.core.control.ControlEvent;

/** This entry decides on the request, for itself or for the entry that asked. */
public record LocalPlacementRequested(PlacementRequest asked) implements ControlEvent {}
