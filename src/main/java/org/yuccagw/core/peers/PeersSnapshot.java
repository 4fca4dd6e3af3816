package org.yuccagw.core.peers;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.NetworkAddress;

/**
 * This entry's local view of the entries.
 *
 * @param serving entries that are alive and take requests, including this one if it does
 * @param ready whether this entry takes new requests
 * @param reason why this entry doesn't take new requests; empty if it does
 * @param addresses addresses at which the transport reaches other entries, including those that have never sent a
 *     message
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
