package org.yuccagw.core.peers;

import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.port.PeerMessage;

/** How news of endpoints reaches whoever places requests. */
public interface UpdateBroadcaster {
    /** Sends to all that place requests or pass news on to these. */
    void tell(PeerMessage news);

    /** Sends to the entries of the own failure domain that rely on this one, if it is a lead. */
    void tellFollowers(PeerMessage news);

    /** Whether news of that entry have to be passed on, since it tells this one only. */
    boolean speaksFor(EntryId from);
}
