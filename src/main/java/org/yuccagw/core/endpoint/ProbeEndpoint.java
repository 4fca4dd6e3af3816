package org.yuccagw.core.endpoint;

import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.NetworkAddress;

/**
 * Queries the state and load of a model endpoint. The outcome is reported by {@link EndpointReported}, or by {@link
 * ProbeFailed} if neither a kept-alive connection nor a new one returned an answer.
 */
public record ProbeEndpoint(EndpointId endpoint, long incarnation, NetworkAddress address) implements ControlAction {}
