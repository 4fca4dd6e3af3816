package org.yuccagw.bench.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.cache.CacheCommand;
import org.yuccagw.core.cache.StoreTier;
import org.yuccagw.core.cache.StoreUpdate;
import org.yuccagw.core.cache.StoredBlock;

/**
 * A cache store in virtual time: two tiers behind one link. The link moves one byte after the other in the order in
 * which transfers begin, both directions together; the disk tier adds a delay to each read, a few of which overlap.
 */
final class StoreModel {
    private final Map<BlockKey, Held> blocks = new HashMap<>();
    private long memoryCapacity;
    private long diskCapacity;
    private long memoryUsed;
    private long diskUsed;
    private double bytesPerNano;
    private long linkFreeNanos;
    private long nextGeneration = 1;
    private boolean dead;
    private long readMemoryBytes;
    private long readDiskBytes;
    private long writtenBytes;

    private StoreModel(double linkBytesPerSecond, long memoryCapacity, long diskCapacity) {
        this.memoryCapacity = memoryCapacity;
        this.diskCapacity = diskCapacity;
        setLink(linkBytesPerSecond);
    }

    static StoreModel of(double linkBytesPerSecond, long memoryCapacity, long diskCapacity) {
        return new StoreModel(linkBytesPerSecond, memoryCapacity, diskCapacity);
    }

    private record Held(long generation, long length, StoreTier tier) {}

    /** What a read brings: the first so many blocks, all at the given time. */
    record Fetched(int blocks, long bytes, long endNanos) {}

    void setLink(double bytesPerSecond) {
        bytesPerNano = bytesPerSecond / 1e9;
    }

    double linkBytesPerMilli() {
        return bytesPerNano * 1e6;
    }

    void die() {
        dead = true;
        blocks.clear();
        memoryUsed = 0;
        diskUsed = 0;
    }

    void comeBack() {
        dead = false;
    }

    boolean isDead() {
        return dead;
    }

    long readMemoryBytes() {
        return readMemoryBytes;
    }

    long readDiskBytes() {
        return readDiskBytes;
    }

    long writtenBytes() {
        return writtenBytes;
    }

    /** Reads blocks in order until the deadline; what hasn't arrived by then is given up and frees the link. */
    Fetched fetch(long now, List<StoredBlock> wanted, long deadlineNanos) {
        long linkTime = Math.max(now, linkFreeNanos);
        long diskReads = 0;
        long bytes = 0;
        int count = 0;
        for (StoredBlock block : wanted) {
            Held held = blocks.get(block.key());
            if (dead || held == null || held.generation() != block.generation()) {
                break;
            }
            long nextLink = linkTime + (long) (held.length() / bytesPerNano);
            long nextDisk = diskReads + (held.tier() == StoreTier.DISK ? 1 : 0);
            if (nextLink + diskNanos(nextDisk) > deadlineNanos) {
                linkFreeNanos = Math.min(nextLink, Math.max(linkTime, deadlineNanos));
                return new Fetched(count, bytes, deadlineNanos);
            }
            linkTime = nextLink;
            diskReads = nextDisk;
            bytes += held.length();
            readMemoryBytes += held.tier() == StoreTier.MEMORY ? held.length() : 0;
            readDiskBytes += held.tier() == StoreTier.DISK ? held.length() : 0;
            count++;
        }
        linkFreeNanos = Math.max(linkFreeNanos, linkTime);
        return new Fetched(count, bytes, Math.max(now, linkTime) + diskNanos(diskReads));
    }

    /** When a transfer of so many bytes to the store that begins now is through the link. */
    long writeEnd(long now, long bytes) {
        linkFreeNanos = Math.max(now, linkFreeNanos) + (long) (bytes / bytesPerNano);
        writtenBytes += bytes;
        return linkFreeNanos;
    }

    /** Seals blocks of equal length, in memory, else on disk, as far as there is room. */
    List<StoredBlock> seal(List<BlockKey> keys, long length) {
        List<StoredBlock> sealed = new ArrayList<>();
        for (BlockKey key : keys) {
            if (dead || !put(key, length)) {
                return sealed;
            }
            sealed.add(new StoredBlock(key, blocks.get(key).generation(), length, 0));
        }
        return sealed;
    }

    void delete(List<CacheCommand.Generation> generations) {
        for (CacheCommand.Generation named : generations) {
            Held held = blocks.get(named.key());
            if (held != null && held.generation() == named.generation()) {
                blocks.remove(named.key());
                use(held.tier(), -held.length());
            }
        }
    }

    List<StoredBlock> move(StoreTier tier, List<StoredBlock> wanted) {
        List<StoredBlock> moved = new ArrayList<>();
        for (StoredBlock block : wanted) {
            Held held = blocks.get(block.key());
            if (held != null && held.tier() != tier && room(tier) >= held.length()) {
                use(held.tier(), -held.length());
                use(tier, held.length());
                blocks.put(block.key(), new Held(held.generation(), held.length(), tier));
                moved.add(block);
            }
        }
        return moved;
    }

    StoreUpdate.Usage memory() {
        return new StoreUpdate.Usage(memoryUsed, memoryCapacity);
    }

    StoreUpdate.Usage disk() {
        return new StoreUpdate.Usage(diskUsed, diskCapacity);
    }

    private boolean put(BlockKey key, long length) {
        StoreTier tier = room(StoreTier.MEMORY) >= length ? StoreTier.MEMORY : StoreTier.DISK;
        if (room(tier) < length) {
            return false;
        }
        Held before = blocks.put(key, new Held(nextGeneration++, length, tier));
        if (before != null) {
            use(before.tier(), -before.length());
        }
        use(tier, length);
        return true;
    }

    private long room(StoreTier tier) {
        return tier == StoreTier.MEMORY ? memoryCapacity - memoryUsed : diskCapacity - diskUsed;
    }

    private void use(StoreTier tier, long bytes) {
        if (tier == StoreTier.MEMORY) {
            memoryUsed += bytes;
        } else {
            diskUsed += bytes;
        }
    }

    private static long diskNanos(long reads) {
        return reads * Deployment.DISK_DELAY.toNanos() / Deployment.READS_AT_ONCE;
    }
}
