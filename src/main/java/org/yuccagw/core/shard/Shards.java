package org.yuccagw.core.shard;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.yuccagw.core.id.ShardNumber;

/** Maps names to shards. Every entry computes the same shard for a name. */
public final class Shards {
    private Shards() {}

    /** Returns the shard of a name, such as that of a workspace or a pool: its hash modulo the number of shards. */
    public static ShardNumber of(String name, int count) {
        long hash =
                Hashing.murmur3_128().hashString(name, StandardCharsets.UTF_8).asLong();
        return ShardNumber.of((int) Math.floorMod(hash, (long) count));
    }
}
