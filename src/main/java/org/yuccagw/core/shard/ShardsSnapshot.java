package org.yuccagw.core.shard;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ShardNumber;

/**
 * The owners of the shards in this entry's local view. A hint only: the owner proves its lease at the point of use.
 *
 * @param count fixed number of shards
 * @param owners owner of each shard; without an entry for shards whose owner is unknown
 */
public record ShardsSnapshot(int count, ImmutableMap<ShardNumber, Ownership> owners) {
    /** Returns the owner of a shard in the local view. */
    public Optional<Ownership> owner(ShardNumber shard) {
        return Optional.ofNullable(owners.get(shard));
    }

    /**
     * The owner of one shard.
     *
     * @param epoch fencing number, which increases with each new owner; 0 if the owner is only the assigned one
     */
    public record Ownership(EntryId owner, long epoch) {}
}
