package org.yuccagw.standins.store;

import com.google.common.hash.Hashing;
import org.yuccagw.core.cache.BlockKey;

/** One generation of a block that the store holds. */
final class StoredBlock {
    private final BlockKey key;
    private final long generation;
    private final String writer;
    private final byte[] bytes;
    private final long writtenNanos;
    private final long checksum;
    private Tier tier;
    private boolean sealed;
    private boolean deleted;
    private int readers;

    StoredBlock(BlockKey key, long generation, String writer, byte[] bytes, long writtenNanos, Tier tier) {
        this.key = key;
        this.generation = generation;
        this.writer = writer;
        this.bytes = bytes;
        this.writtenNanos = writtenNanos;
        this.checksum = checksum(bytes);
        this.tier = tier;
    }

    static long checksum(byte[] bytes) {
        return Hashing.crc32c().hashBytes(bytes).padToLong();
    }

    BlockKey key() {
        return key;
    }

    long generation() {
        return generation;
    }

    String writer() {
        return writer;
    }

    byte[] bytes() {
        return bytes;
    }

    long writtenNanos() {
        return writtenNanos;
    }

    long checksum() {
        return checksum;
    }

    Tier tier() {
        return tier;
    }

    void place(Tier newTier) {
        tier = newTier;
    }

    boolean sealed() {
        return sealed;
    }

    void seal() {
        sealed = true;
    }

    void addReader() {
        readers++;
    }

    void removeReader() {
        readers--;
    }

    void delete() {
        deleted = true;
    }

    /** Whether nobody can reach it any more, so that its memory may be used again. */
    boolean isFree() {
        return deleted && readers == 0;
    }
}
