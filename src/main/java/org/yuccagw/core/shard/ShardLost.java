package org.yuccagw.core.shard;

import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.ShardNumber;

/**
 * Raised by {@link ShardsComponent} when this entry no longer owns a shard, or can't be certain that it does.
 *
 * @param epoch fencing number of the ownership that ended
 */
public record ShardLost(ShardNumber shard, long epoch) implements ControlEvent {}
