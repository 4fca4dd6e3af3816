package org.yuccagw.core.control;

import java.util.Optional;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;

/**
 * The identity of this entry.
 *
 * @param entry the entry's name, from settings
 * @param incarnation higher for each start of the process, which distinguishes a restart under the same name;
 *     wall-clock milliseconds of the start
 * @param domain the failure domain, from settings
 * @param callerAddress where callers connect
 * @param peerAddress where other entries connect
 * @param adminAddress where operators connect
 * @param relayAddress where other entries connect to have requests relayed; empty if the entry relays none
 * @param capacity the processing capacity of its VM, in hundredths of a processor core
 */
public record EntryIdentity(
        EntryId entry,
        long incarnation,
        FailureDomain domain,
        NetworkAddress callerAddress,
        NetworkAddress peerAddress,
        NetworkAddress adminAddress,
        Optional<NetworkAddress> relayAddress,
        int capacity) {
    /** One processor core: the capacity of a VM whose settings contain none. */
    public static final int DEFAULT_CAPACITY = 100;

    /** Creates the identity of an entry that relays no requests, on a VM of the default capacity. */
    public EntryIdentity(
            EntryId entry,
            long incarnation,
            FailureDomain domain,
            NetworkAddress callerAddress,
            NetworkAddress peerAddress,
            NetworkAddress adminAddress) {
        this(entry, incarnation, domain, callerAddress, peerAddress, adminAddress, Optional.empty(), DEFAULT_CAPACITY);
    }
}
