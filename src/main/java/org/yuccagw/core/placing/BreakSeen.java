package org.yuccagw.core.placing;

import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.port.PeerMessage;

/** An endpoint broke off while it ran a request; told to all entries at once. */
public record BreakSeen(String fingerprint, EndpointId endpoint) implements PeerMessage {}
