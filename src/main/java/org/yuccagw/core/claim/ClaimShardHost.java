package org.yuccagw.core.claim;

import java.time.Duration;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ShardNumber;

/** What a shard's owner side may ask of the part that it belongs to. */
interface ClaimOwner {
    /** Whether this entry holds the shard's lease with this epoch right now. */
    boolean holds(ShardNumber shard, long epoch);

    /** Whether the process that made the attempt may still run. */
    boolean mayBeAlive(ClaimAttempt attempt);

    /** Sends to an entry, this one included. */
    void send(EntryId to, ClaimPeerMessage message);

    /** Records of ended requests older than this, in milliseconds since 1970, are past retention. */
    long oldestWallMillis();

    /** The least time between two commits of one shard if all shards together shall keep to this rate. */
    Duration commitGap(int writesPerSecond);

    ClaimLogCodec codec();

    ClaimGuards guards();
}
