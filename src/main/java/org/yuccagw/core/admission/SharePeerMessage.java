package org.yuccagw.core.admission;

import java.time.Duration;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.port.PeerMessage;

/**
 * Messages between entries and the owner of a shard about shares of limits. Messages may be lost, delayed or
 * duplicated.
 */
public interface SharePeerMessage extends PeerMessage {
    ShardNumber shard();

    /**
     * Requests a share, renews it, or returns it if both {@code held} and {@code demand} are empty. Sent by an entry to
     * the owner.
     *
     * @param held maximum share that the entry uses until the next grant
     * @param epoch epoch of the owner that made the newest grant of the entry, 0 for none
     * @param sequence sequence number of that grant
     * @param running number of requests that are running now
     * @param demand number of requests that are running or waiting now
     */
    record Ask(ShardNumber shard, LimitName limit, Share held, long epoch, long sequence, int running, double demand)
            implements SharePeerMessage {}

    /**
     * Grants a share, which replaces the previous share of the entry. Sent by the owner to an entry.
     *
     * @param sequence sequence number of the grant, increasing during the epoch of an owner
     * @param lifetime lifetime of the share, starting when the request that it answers was sent
     */
    record Grant(ShardNumber shard, long epoch, LimitName limit, Share share, long sequence, Duration lifetime)
            implements SharePeerMessage {}

    /**
     * States that the entry knows the new owner of the shard and uses no shares of the shard except those that it
     * requests from this owner.
     */
    record Present(ShardNumber shard) implements SharePeerMessage {}
}
