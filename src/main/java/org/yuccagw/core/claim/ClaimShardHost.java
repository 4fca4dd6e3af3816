package org.yuccagw.core.claim;

import java.time.Duration;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ShardNumber;

/** Services that {@link ClaimComponent} provides to a {@link ClaimShard}. */
interface ClaimShardHost {
    /** Whether this entry holds the lease of the shard with this epoch at the present time. */
    boolean holdsLease(ShardNumber shard, long epoch);

    /** Whether no other entry can have owned the shard since the ownership of this one ended. */
    boolean excludesOtherOwnerSince(ShardNumber shard, FormerOwnership ownership);

    /** Whether the process that made the attempt may still be running. */
    boolean mayBeRunning(ClaimAttempt attempt);

    /** Sends a message to an entry, which may be this one. */
    void send(EntryId to, ClaimPeerMessage message);

    /** Returns the time, in milliseconds since 1970, before which records of ended requests are past retention. */
    long oldestRetainedWallMillis();

    /** Returns the minimum time between two commits of one shard that limits all shards together to this rate. */
    Duration minCommitInterval(int writesPerSecond);

    ClaimLogCodec codec();

    ClaimGuards guards();
}
