package org.yuccagw.core.shard;

import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.ShardNumber;

/**
 * Raised by {@link ShardsComponent} when this entry has become the owner of a shard.
 *
 * @param epoch fencing number of this ownership
 */
public record ShardGained(ShardNumber shard, long epoch) implements ControlEvent {}
