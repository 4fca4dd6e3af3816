package org.yuccagw.core.shard;

import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.port.PeerMessage;

/**
 * Announces that the sender has released a shard, so that the newly assigned owner can acquire it without delay.
 *
 * @param epoch fencing number of the ownership that ended
 */
public record ShardReleased(ShardNumber shard, long epoch) implements PeerMessage {}
