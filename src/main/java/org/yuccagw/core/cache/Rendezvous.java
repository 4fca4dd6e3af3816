package org.yuccagw.core.cache;

import java.nio.charset.StandardCharsets;

/**
 * Rendezvous (highest random weight) hashing of blocks. Each candidate, such as a store or an endpoint, has a weight
 * for each block, and the candidate with the highest weight is chosen. All entries compute the same weights and so
 * agree without communication. Removing a candidate reassigns only the blocks that were assigned to it.
 */
public final class Rendezvous {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_MULTIPLIER_1 = 0xff51afd7ed558ccdL;
    private static final long MIX_MULTIPLIER_2 = 0xc4ceb9fe1a85ec53L;
    private static final int MIX_SHIFT = 33;

    private Rendezvous() {}

    /** Returns the FNV-1a hash of a candidate's name, mixed once more. Callers compute it once for each name. */
    public static long nameHash(String name) {
        long hash = FNV_OFFSET_BASIS;
        for (byte next : name.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (next & 0xff)) * FNV_PRIME;
        }
        return mix(hash);
    }

    public static long weight(String name, BlockKey block) {
        return weight(nameHash(name), block);
    }

    public static long weight(long nameHash, BlockKey block) {
        return weight(nameHash, block.low());
    }

    /** Returns the weight of a candidate for a key, of which both hashes are given. */
    public static long weight(long nameHash, long keyHash) {
        return mix(nameHash ^ keyHash);
    }

    /** The finalizer of MurmurHash3: each input bit changes half of the output bits on average. */
    private static long mix(long value) {
        long hash = value;
        hash ^= hash >>> MIX_SHIFT;
        hash *= MIX_MULTIPLIER_1;
        hash ^= hash >>> MIX_SHIFT;
        hash *= MIX_MULTIPLIER_2;
        return hash ^ (hash >>> MIX_SHIFT);
    }
}
