package org.yuccagw.core.endpoint;

import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.EndpointId;

/** Raised when an endpoint answered a probe neither on a kept-alive connection nor on a new one. */
public record ProbeFailed(EndpointId endpoint, long incarnation) implements ControlEvent {}
