package org.yuccagw.core.peers;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.NetworkAddress;

/**
 * The entries as this one sees them.
 *
 * @param serving entries that are alive and take requests, this one among them if it does
 * @param ready whether this entry takes new requests
 * @param reason why it doesn't, empty if it does
 * @param addresses where the transport reaches others, those that were never heard included
 */
public record PeersSnapshot(
        ImmutableList<EntryContact> serving,
        boolean ready,
        String reason,
        ImmutableMap<EntryId, NetworkAddress> addresses) {
    public static PeersSnapshot none() {
        return new PeersSnapshot(ImmutableList.of(), false, "has not started yet", ImmutableMap.of());
    }

    public Optional<NetworkAddress> find(EntryId entry) {
        return Optional.ofNullable(addresses.get(entry));
    }
}
