package org.yuccagw.core.membership;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.NetworkAddress;

/**
 * The addresses at which the transport reaches other entries. Unlike the directory, this includes dead entries and
 * entries that the platform lists but of which no record was received, because gossip is sent to these too.
 */
public record PeerAddresses(ImmutableMap<EntryId, NetworkAddress> byEntry) {
    public Optional<NetworkAddress> find(EntryId entry) {
        return Optional.ofNullable(byEntry.get(entry));
    }
}
