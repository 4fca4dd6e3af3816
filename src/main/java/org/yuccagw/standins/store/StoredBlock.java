package org.yuccagw.standins.store;

import com.google.common.hash.Hashing;
import org.yuccagw.core.cache.BlockKey;

/** One generation of a block in the store. */
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
    private int readerCount;

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

    void setTier(Tier newTier) {
        tier = newTier;
    }

    boolean sealed() {
        return sealed;
    }

    void seal() {
        sealed = true;
    }

    void addReader() {
        readerCount++;
    }

    void removeReader() {
        readerCount--;
    }

    void delete() {
        deleted = true;
    }

    /** Returns whether the block is deleted and has no reader left, so that its memory can be reused. */
    boolean isUnreachable() {
        return deleted && readerCount == 0;
    }
}
