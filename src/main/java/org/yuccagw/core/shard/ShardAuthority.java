package org.yuccagw.core.shard;

import java.util.OptionalLong;
import org.yuccagw.core.id.ShardNumber;

/**
 * Checks immediately before an effect whether this entry may still act as the owner of a shard.
 *
 * <p>Implemented by {@link ShardsComponent}.
 */
@FunctionalInterface
public interface ShardAuthority {
    /**
     * Returns the epoch of the shard, its fencing number, if this entry owns the shard and its lease is valid at the
     * given monotonic time. The validity counts from before the last renewal of the lease was sent.
     */
    OptionalLong epochIfHeld(ShardNumber shard, long nowNanos);

    /**
     * Returns the monotonic time at which the authority ends unless the lease is renewed, for effects that take place
     * some time after the check.
     */
    default long authorityEndsNanos(long nowNanos) {
        return nowNanos;
    }
}
