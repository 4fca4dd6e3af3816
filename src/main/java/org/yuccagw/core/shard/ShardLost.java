package org.yuccagw.core.shard;

import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.ShardNumber;

/**
 * Raised by {@link ShardsComponent} when this entry no longer owns a shard, or can't be certain that it does.
 *
 * @param epoch fencing number of the ownership that ended
 */
public record ShardLost(ShardNumber shard, long epoch, Cause cause) implements ControlEvent {
    /** Why the ownership ended. */
    public enum Cause {
        /** The shard is assigned to another entry. */
        HANDED_OVER,
        /** The lease couldn't be renewed. Perhaps no entry owns the shard now. */
        LEASE_EXPIRED
    }
}
