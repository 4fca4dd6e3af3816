package org.yuccagw.core.peers;

import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.port.PeerMessage;

/**
 * Requests the members of a roster from a lead. Sent when a roster arrives without members and its digest is unknown,
 * since the message with the members was lost.
 */
public record RosterRequest(FailureDomain domain) implements PeerMessage {}
