package org.yuccagw.core.membership;

import java.util.Optional;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;

/**
 * This entry's local view of one entry, itself included.
 *
 * @param incarnation identifies one start of the entry's process
 * @param state membership state as agreed by gossip
 * @param relayAddress where the entry relays requests of other entries; empty if it relays none
 * @param load last reported number of running requests
 * @param catalogueRevision last reported revision of the catalogue in force on that entry
 */
public record EntryStatus(
        EntryId entry,
        long incarnation,
        State state,
        FailureDomain domain,
        NetworkAddress callerAddress,
        NetworkAddress peerAddress,
        NetworkAddress adminAddress,
        Optional<NetworkAddress> relayAddress,
        int load,
        long catalogueRevision) {
    /**
     * The membership state of an entry. Within one incarnation a later state supersedes an earlier one, except that a
     * suspicion can be refuted.
     */
    public enum State {
        ALIVE,
        SUSPECT,
        LEAVING,
        DEAD
    }
}
