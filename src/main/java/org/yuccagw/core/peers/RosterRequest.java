package org.yuccagw.core.peers;

import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.port.PeerMessage;

/** Asks a lead for the members of a roster of which only the digest came, since the message with them was lost. */
public record RosterRequest(FailureDomain domain) implements PeerMessage {}
