package org.yuccagw.core.placing;

import org.yuccagw.core.peers.PeerStatus;
import org.yuccagw.core.port.PeerMessage;

/**
 * The load of the sending entry on one endpoint, sent between heartbeats. Replaces the load that it last reported
 * there.
 */
public record LoadUpdate(PeerStatus.Load load) implements PeerMessage {}
