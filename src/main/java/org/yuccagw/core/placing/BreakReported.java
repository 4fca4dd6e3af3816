package org.yuccagw.core.placing;

import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.port.PeerMessage;

/**
 * An endpoint's connection broke while it ran a request. Broadcast to all entries at once.
 *
 * @param fingerprint identifies the request, also when the caller sends it again
 * @param endpoint the incarnation that ran the request
 */
public record BreakReported(String fingerprint, EndpointIncarnation endpoint) implements PeerMessage {}
