package org.yuccagw.core.fleet;

import java.util.Optional;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;

/**
 * The failure domain, addresses and capacity of one entry.
 *
 * @param incarnation identifies one start of the process; higher for each later start
 * @param callers address on which the entry serves callers
 * @param peers address on which the entry receives messages from other entries
 * @param relays address on which the entry relays requests of other entries; empty if it relays none
 * @param capacity processor capacity of the entry's VM, in hundredths of a core
 */
public record EntryContact(
        EntryId entry,
        long incarnation,
        FailureDomain domain,
        NetworkAddress callers,
        NetworkAddress peers,
        Optional<NetworkAddress> relays,
        int capacity) {
    /** Returns the contact of the entry with this identity. */
    public static EntryContact of(EntryIdentity identity) {
        return new EntryContact(
                identity.entry(),
                identity.incarnation(),
                identity.domain(),
                identity.callerAddress(),
                identity.peerAddress(),
                identity.relayAddress(),
                identity.capacity());
    }
}
