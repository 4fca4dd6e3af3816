package org.yuccagw.core.placing;

import org.yuccagw.core.peers.PeerStatus;
import org.yuccagw.core.port.PeerMessage;

/** What the sending entry has running on one endpoint, told between heartbeats; replaces what it told before. */
public record LoadUpdate(PeerStatus.Load load) implements PeerMessage {}
