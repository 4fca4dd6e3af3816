package org.yuccagw.core.peers;

import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.port.PeerMessage;

/**
 * States where an entry that has started can be answered. Sent before a question to entries that may only know its
 * earlier start; unlike a heartbeat, it says nothing on whether the entry serves.
 */
public record EntryIntroduction(EntryContact contact) implements PeerMessage {}
