package org.yuccagw.adapters.control;

import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.port.PeerMessage;

/** Sends messages to other entries. */
@FunctionalInterface
public interface PeerPort {
    /** Sends a message, which may be lost. Never blocks. */
    void send(EntryId to, PeerMessage message);
}
