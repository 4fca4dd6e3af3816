package org.yuccagw.core.placing;

import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.port.PeerMessage;

/** An endpoint broke off while it ran a request; told to all entries at once. */
public record BreakReported(String fingerprint, EndpointIncarnation endpoint) implements PeerMessage {}
