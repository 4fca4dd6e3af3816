package org.yuccagw.core.shard;

import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.port.PeerMessage;

/**
 * Announces that the sender owns a shard. A hint that lets other entries send their requests to the owner.
 *
 * @param epoch fencing number of the ownership
 */
public record ShardOwned(ShardNumber shard, long epoch) implements PeerMessage {}
