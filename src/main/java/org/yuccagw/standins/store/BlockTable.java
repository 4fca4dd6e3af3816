package org.yuccagw.standins.store;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.yuccagw.core.cache.BlockKey;

/**
 * The blocks of a store. It has no clock or thread of its own: callers pass the time in nanoseconds.
 *
 * <p>Each write creates a new generation, which readers can't see until it is sealed with the right length and
 * checksum. A deleted generation is invisible to new reads at once. Its memory is freed only after the reads in
 * progress have ended; it is then overwritten with zeros, as the next block of a real store would overwrite it.
 */
final class BlockTable {
    private final TreeMap<BlockKey, TreeMap<Long, StoredBlock>> blocks = new TreeMap<>();
    private final Map<Tier, Long> capacityBytes = new EnumMap<>(Tier.class);
    private final Map<Tier, Long> usedBytes = new EnumMap<>(Tier.class);
    private long lastGeneration;

    BlockTable(long memoryBytes, long diskBytes) {
        capacityBytes.put(Tier.MEMORY, memoryBytes);
        capacityBytes.put(Tier.DISK, diskBytes);
        usedBytes.put(Tier.MEMORY, 0L);
        usedBytes.put(Tier.DISK, 0L);
    }

    /**
     * The result of a seal or a move: {@code UNKNOWN} if the generation doesn't exist, {@code WRONG} if length or
     * checksum differ, {@code FULL} if the tier has too little free capacity.
     */
    enum Outcome {
        DONE,
        UNKNOWN,
        WRONG,
        FULL
    }

    long used(Tier tier) {
        return usedBytes.get(tier);
    }

    long capacity(Tier tier) {
        return capacityBytes.get(tier);
    }

    /** Stores an unsealed generation in memory, or on disk if memory is full. Returns empty if both tiers are full. */
    Optional<StoredBlock> write(long nowNanos, BlockKey key, String writer, byte[] bytes) {
        for (Tier tier : Tier.values()) {
            if (fits(tier, bytes.length)) {
                StoredBlock block = new StoredBlock(key, ++lastGeneration, writer, bytes, nowNanos, tier);
                blocks.computeIfAbsent(key, absent -> new TreeMap<>()).put(block.generation(), block);
                usedBytes.merge(tier, (long) bytes.length, Long::sum);
                return Optional.of(block);
            }
        }
        return Optional.empty();
    }

    Outcome seal(BlockKey key, long generation, long length, long checksum) {
        Optional<StoredBlock> found = find(key, generation);
        if (found.isEmpty()) {
            return Outcome.UNKNOWN;
        }
        StoredBlock block = found.get();
        if (block.bytes().length != length || block.checksum() != checksum) {
            return Outcome.WRONG;
        }
        block.seal();
        return Outcome.DONE;
    }

    /** Returns the generation if it is sealed. Its bytes don't change until {@link #endRead}. */
    Optional<StoredBlock> beginRead(BlockKey key, long generation) {
        Optional<StoredBlock> found = find(key, generation).filter(StoredBlock::sealed);
        found.ifPresent(StoredBlock::addReader);
        return found;
    }

    void endRead(StoredBlock block) {
        block.removeReader();
        freeIfUnreachable(block);
    }

    void delete(BlockKey key, long generation) {
        find(key, generation).ifPresent(block -> {
            Map<Long, StoredBlock> generations = blocks.get(key);
            generations.remove(generation);
            if (generations.isEmpty()) {
                blocks.remove(key);
            }
            block.delete();
            freeIfUnreachable(block);
        });
    }

    Outcome move(BlockKey key, long generation, Tier tier) {
        Optional<StoredBlock> found = find(key, generation).filter(StoredBlock::sealed);
        if (found.isEmpty()) {
            return Outcome.UNKNOWN;
        }
        StoredBlock block = found.get();
        if (block.tier() == tier) {
            return Outcome.DONE;
        }
        long length = block.bytes().length;
        if (!fits(tier, length)) {
            return Outcome.FULL;
        }
        usedBytes.merge(block.tier(), -length, Long::sum);
        usedBytes.merge(tier, length, Long::sum);
        block.setTier(tier);
        return Outcome.DONE;
    }

    /** Returns the latest sealed generation of each key that has one. */
    List<StoredBlock> lookup(Collection<BlockKey> keys) {
        List<StoredBlock> found = new ArrayList<>();
        for (BlockKey key : keys) {
            latestSealed(key).ifPresent(found::add);
        }
        return found;
    }

    /** Returns the latest sealed generations of the keys after a key, ordered by key and up to a limit. */
    List<StoredBlock> listSealed(Optional<BlockKey> after, int limit) {
        Collection<BlockKey> keys =
                after.isPresent() ? blocks.tailMap(after.get(), false).keySet() : blocks.keySet();
        return keys.stream()
                .flatMap(key -> latestSealed(key).stream())
                .limit(limit)
                .toList();
    }

    List<StoredBlock> unsealed() {
        return blocks.values().stream()
                .flatMap(generations -> generations.values().stream())
                .filter(block -> !block.sealed())
                .toList();
    }

    private Optional<StoredBlock> latestSealed(BlockKey key) {
        TreeMap<Long, StoredBlock> generations = blocks.get(key);
        if (generations == null) {
            return Optional.empty();
        }
        return generations.descendingMap().values().stream()
                .filter(StoredBlock::sealed)
                .findFirst();
    }

    private Optional<StoredBlock> find(BlockKey key, long generation) {
        return Optional.ofNullable(blocks.get(key)).map(generations -> generations.get(generation));
    }

    private boolean fits(Tier tier, long length) {
        return usedBytes.get(tier) + length <= capacityBytes.get(tier);
    }

    private void freeIfUnreachable(StoredBlock block) {
        if (block.isUnreachable()) {
            usedBytes.merge(block.tier(), -(long) block.bytes().length, Long::sum);
            Arrays.fill(block.bytes(), (byte) 0);
        }
    }
}
