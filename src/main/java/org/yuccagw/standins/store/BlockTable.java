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
 * The blocks of a store, without clock or thread.
 *
 * <p>Each write makes a generation of its own, which no reader sees until it is sealed with the right length and
 * checksum. A deleted generation can't be found any more at once; its memory is freed, and overwritten with zeros as a
 * real store's next block would do, only after the reads in progress ended.
 */
final class BlockTable {
    private final TreeMap<BlockKey, TreeMap<Long, StoredBlock>> blocks = new TreeMap<>();
    private final Map<Tier, Long> capacity = new EnumMap<>(Tier.class);
    private final Map<Tier, Long> used = new EnumMap<>(Tier.class);
    private long lastGeneration;

    BlockTable(long memoryBytes, long diskBytes) {
        capacity.put(Tier.MEMORY, memoryBytes);
        capacity.put(Tier.DISK, diskBytes);
        used.put(Tier.MEMORY, 0L);
        used.put(Tier.DISK, 0L);
    }

    enum Outcome {
        DONE,
        UNKNOWN,
        WRONG,
        FULL
    }

    long used(Tier tier) {
        return used.get(tier);
    }

    long capacity(Tier tier) {
        return capacity.get(tier);
    }

    /** Takes an unsealed generation into memory, else onto disk; empty if neither has room. */
    Optional<StoredBlock> write(long now, BlockKey key, String writer, byte[] bytes) {
        for (Tier tier : Tier.values()) {
            if (fits(tier, bytes.length)) {
                StoredBlock block = new StoredBlock(key, ++lastGeneration, writer, bytes, now, tier);
                blocks.computeIfAbsent(key, absent -> new TreeMap<>()).put(block.generation(), block);
                used.merge(tier, (long) bytes.length, Long::sum);
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

    /** The sealed generation; its bytes stay as they are until {@link #endRead}. */
    Optional<StoredBlock> beginRead(BlockKey key, long generation) {
        Optional<StoredBlock> found = find(key, generation).filter(StoredBlock::sealed);
        found.ifPresent(StoredBlock::addReader);
        return found;
    }

    void endRead(StoredBlock block) {
        block.removeReader();
        freeIfPossible(block);
    }

    void delete(BlockKey key, long generation) {
        find(key, generation).ifPresent(block -> {
            Map<Long, StoredBlock> generations = blocks.get(key);
            generations.remove(generation);
            if (generations.isEmpty()) {
                blocks.remove(key);
            }
            block.delete();
            freeIfPossible(block);
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
        long size = block.bytes().length;
        if (!fits(tier, size)) {
            return Outcome.FULL;
        }
        used.merge(block.tier(), -size, Long::sum);
        used.merge(tier, size, Long::sum);
        block.place(tier);
        return Outcome.DONE;
    }

    /** The latest sealed generation of each of the keys that has one. */
    List<StoredBlock> lookup(Collection<BlockKey> keys) {
        List<StoredBlock> found = new ArrayList<>();
        for (BlockKey key : keys) {
            latestSealed(key).ifPresent(found::add);
        }
        return found;
    }

    /** Sealed blocks in the order of keys. */
    List<StoredBlock> page(Optional<BlockKey> after, int limit) {
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

    private boolean fits(Tier tier, long size) {
        return used.get(tier) + size <= capacity.get(tier);
    }

    private void freeIfPossible(StoredBlock block) {
        if (block.isFree()) {
            used.merge(block.tier(), -(long) block.bytes().length, Long::sum);
            Arrays.fill(block.bytes(), (byte) 0);
        }
    }
}
