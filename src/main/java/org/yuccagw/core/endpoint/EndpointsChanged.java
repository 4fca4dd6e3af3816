package org.yuccagw.core.endpoint;

import org.yuccagw.core.control.ControlEvent;

/** Raised by {@link EndpointsComponent} when the set of endpoints or the status of one endpoint changed. */
public record EndpointsChanged(EndpointsSnapshot endpoints) implements ControlEvent {}
