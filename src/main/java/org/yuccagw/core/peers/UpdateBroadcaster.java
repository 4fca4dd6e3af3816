package org.yuccagw.core.peers;

import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.port.PeerMessage;

/** Sends updates about endpoints to the entries that place requests. */
public interface UpdateBroadcaster {
    /** Sends to all entries that place requests or that forward updates to those. */
    void broadcast(PeerMessage update);

    /** Sends to the entries of the own failure domain that rely on this one, if it is a lead. */
    void sendToFollowers(PeerMessage update);

    /** Returns whether updates from that entry must be forwarded, since it sends them to this entry only. */
    boolean forwardsFor(EntryId from);
}
