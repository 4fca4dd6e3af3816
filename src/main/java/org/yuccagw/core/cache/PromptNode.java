package org.yuccagw.core.cache;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.yuccagw.core.id.StoreId;

/**
 * A node of the {@link PromptTree}: a run of consecutive blocks that have always been requested together, and the
 * stored copies of them.
 *
 * <p>A copy covers the first blocks of the run and is held by one store. A copy that has lost its last blocks can still
 * be used.
 */
public final class PromptNode {
    private static final int LONGS_PER_KEY = 2;
    private static final int MAX_CHILDREN_OF_UNSHARED_RUN = 16;

    private final PromptScope scope;
    private PromptNode parent;
    private int startDepth;
    private long[] keys;
    private List<Copy> copies = List.of();
    private ReturnForecast.Exposure exposure;
    private double lastUseSeconds;
    private int uses;
    private int children;
    private int listPosition = -1;
    private boolean exporting;

    PromptNode(PromptScope scope, PromptNode parent, int startDepth, List<BlockKey> blocks) {
        this.scope = scope;
        this.parent = parent;
        this.startDepth = startDepth;
        this.keys = new long[blocks.size() * LONGS_PER_KEY];
        for (int i = 0; i < blocks.size(); i++) {
            keys[i * LONGS_PER_KEY] = blocks.get(i).high();
            keys[i * LONGS_PER_KEY + 1] = blocks.get(i).low();
        }
    }

    /** A stored copy of the first blocks of the run. */
    public static final class Copy {
        private final StoreId store;
        private StoreTier tier;
        private final int blockBytes;
        private final long[] generations;
        private final int[] checksums;

        private Copy(StoreId store, StoreTier tier, int blockBytes, long[] generations, int[] checksums) {
            this.store = store;
            this.tier = tier;
            this.blockBytes = blockBytes;
            this.generations = generations;
            this.checksums = checksums;
        }

        static Copy of(StoreId store, StoreTier tier, List<StoredBlock> blocks) {
            return new Copy(
                    store,
                    tier,
                    (int) blocks.get(0).length(),
                    blocks.stream().mapToLong(StoredBlock::generation).toArray(),
                    blocks.stream().mapToInt(block -> (int) block.checksum()).toArray());
        }

        public StoreId store() {
            return store;
        }

        public StoreTier tier() {
            return tier;
        }

        void setTier(StoreTier newTier) {
            tier = newTier;
        }

        public int blockCount() {
            return generations.length;
        }

        /** Returns the size of all blocks of the copy, in bytes. */
        public long bytes() {
            return (long) blockBytes * generations.length;
        }

        public int blockBytes() {
            return blockBytes;
        }

        private Copy withAppended(StoredBlock block) {
            long[] newGenerations = Arrays.copyOf(generations, generations.length + 1);
            int[] newChecksums = Arrays.copyOf(checksums, checksums.length + 1);
            newGenerations[generations.length] = block.generation();
            newChecksums[checksums.length] = (int) block.checksum();
            return new Copy(store, tier, blockBytes, newGenerations, newChecksums);
        }

        private Copy slice(int from, int to) {
            return new Copy(
                    store,
                    tier,
                    blockBytes,
                    Arrays.copyOfRange(generations, from, to),
                    Arrays.copyOfRange(checksums, from, to));
        }
    }

    public PromptScope scope() {
        return scope;
    }

    public PromptNode parent() {
        return parent;
    }

    /** Returns the number of blocks of the prompt before this run. */
    public int startDepth() {
        return startDepth;
    }

    public int blockCount() {
        return keys.length / LONGS_PER_KEY;
    }

    public BlockKey key(int index) {
        return BlockKey.of(keys[index * LONGS_PER_KEY], keys[index * LONGS_PER_KEY + 1]);
    }

    /** Returns the keys from the given index to the end of the run. */
    public ImmutableList<BlockKey> keysFrom(int from) {
        ImmutableList.Builder<BlockKey> list = ImmutableList.builder();
        for (int i = from; i < blockCount(); i++) {
            list.add(key(i));
        }
        return list.build();
    }

    boolean hasKeyAt(int index, BlockKey key) {
        return keys[index * LONGS_PER_KEY] == key.high() && keys[index * LONGS_PER_KEY + 1] == key.low();
    }

    /** Returns the time of the last use, in seconds of the monotonic clock. */
    public double lastUseSeconds() {
        return lastUseSeconds;
    }

    /** Returns how often the run has been requested. */
    public int uses() {
        return uses;
    }

    /** Returns the number of runs that continue this one. */
    public int children() {
        return children;
    }

    /**
     * Returns whether many different prompts continue this run, as they do after a prefix that is common to a
     * workspace.
     */
    boolean isShared() {
        return children > MAX_CHILDREN_OF_UNSHARED_RUN;
    }

    public List<Copy> copies() {
        return copies;
    }

    public Optional<Copy> copyIn(StoreId store) {
        return copies.stream().filter(copy -> copy.store.equals(store)).findFirst();
    }

    /** Returns the number of blocks of the longest copy, 0 without a copy. */
    public int maxCopyBlocks() {
        int maxBlocks = 0;
        for (Copy copy : copies) {
            maxBlocks = Math.max(maxBlocks, copy.blockCount());
        }
        return maxBlocks;
    }

    /** Returns the blocks of a copy as the store identifies them, from one index up to but not including another. */
    public ImmutableList<StoredBlock> storedBlocks(Copy copy, int from, int to) {
        ImmutableList.Builder<StoredBlock> list = ImmutableList.builder();
        for (int i = from; i < Math.min(to, copy.blockCount()); i++) {
            list.add(new StoredBlock(
                    key(i), copy.generations[i], copy.blockBytes, Integer.toUnsignedLong(copy.checksums[i])));
        }
        return list.build();
    }

    /** Returns whether an export of the run to a store is in progress. */
    public boolean isExporting() {
        return exporting;
    }

    void setExporting(boolean newExporting) {
        exporting = newExporting;
    }

    ReturnForecast.Exposure exposure() {
        return exposure;
    }

    int listPosition() {
        return listPosition;
    }

    void setListPosition(int newListPosition) {
        listPosition = newListPosition;
    }

    void addChild() {
        children++;
    }

    void removeChild() {
        children--;
    }

    void recordUse(double nowSeconds, ReturnForecast.Exposure newExposure) {
        lastUseSeconds = nowSeconds;
        uses++;
        exposure = newExposure;
    }

    /** Returns the number that the next use of the run will have. */
    int nextUseNumber() {
        return uses + 1;
    }

    void addCopy(Copy copy) {
        removeCopy(copy.store);
        List<Copy> newCopies = new ArrayList<>(copies);
        newCopies.add(copy);
        copies = List.copyOf(newCopies);
    }

    /** Returns the index of the block in the run, -1 if the run doesn't contain it. */
    int indexOf(BlockKey key) {
        for (int i = 0; i < blockCount(); i++) {
            if (hasKeyAt(i, key)) {
                return i;
            }
        }
        return -1;
    }

    /**
     * Appends the next block to the store's copy, or starts a copy with the first block. Ignores a block after a gap.
     */
    void extendCopy(StoreId store, StoreTier tier, int index, StoredBlock block) {
        Optional<Copy> copy = copyIn(store);
        if (copy.map(Copy::blockCount).orElse(0) == index) {
            addCopy(copy.map(existing -> existing.withAppended(block))
                    .orElseGet(() -> Copy.of(store, tier, List.of(block))));
        }
    }

    void removeCopy(StoreId store) {
        copies = copies.stream().filter(copy -> !copy.store.equals(store)).toList();
    }

    /** Removes the blocks from {@code index} on from the store's copy, because the store lost the first of them. */
    void truncateCopy(StoreId store, int index) {
        Optional<Copy> existing = copyIn(store);
        if (existing.isPresent() && index < existing.get().blockCount()) {
            removeCopy(store);
            if (index > 0) {
                addCopy(existing.get().slice(0, index));
            }
        }
    }

    /**
     * Splits the run at {@code splitIndex}. The returned new node has the blocks before the index and becomes the
     * parent of this node, which keeps the other blocks and its children.
     */
    PromptNode splitHead(int splitIndex) {
        PromptNode head = new PromptNode(scope, parent, startDepth, keysFrom(0).subList(0, splitIndex));
        head.copies = copies.stream()
                .map(copy -> copy.slice(0, Math.min(splitIndex, copy.blockCount())))
                .toList();
        head.exposure = exposure;
        head.lastUseSeconds = lastUseSeconds;
        head.uses = uses;
        head.children = 1;
        head.exporting = exporting;
        copies = copies.stream()
                .filter(copy -> copy.blockCount() > splitIndex)
                .map(copy -> copy.slice(splitIndex, copy.blockCount()))
                .toList();
        keys = Arrays.copyOfRange(keys, splitIndex * LONGS_PER_KEY, keys.length);
        parent = head;
        startDepth += splitIndex;
        return head;
    }
}
