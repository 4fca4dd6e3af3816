package org.yuccagw.core.cache;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Consecutive blocks of a prompt that one store holds without a gap, from a given depth on.
 *
 * @param startDepth depth of the first block
 * @param cutPoints depths at which a fetch may end, in ascending order: the ends of the runs of the {@link PromptTree}.
 *     The last one is the end of the prefix.
 */
public record StoredPrefix(
        StoreTable.Store store, int startDepth, ImmutableList<StoredBlock> blocks, ImmutableList<CutPoint> cutPoints) {

    /**
     * A depth at which a fetch of the prefix may end.
     *
     * @param depth depth of the first block that isn't fetched
     * @param memoryBytes bytes before that depth in the memory tier
     * @param diskBytes bytes before that depth in the disk tier
     */
    public record CutPoint(int depth, long memoryBytes, long diskBytes) {}

    /** Returns the longest stored prefix from {@code startDepth} on over all usable stores. */
    public static Optional<StoredPrefix> find(CacheState state, List<BlockKey> prompt, int startDepth, long nowNanos) {
        return find(state, prompt, state.prompts().findPath(prompt), startDepth, nowNanos);
    }

    /**
     * Variant of {@link #find(CacheState, List, int, long)} for a caller that has found the prompt's path in the tree.
     */
    public static Optional<StoredPrefix> find(
            CacheState state, List<BlockKey> prompt, List<PromptNode> path, int startDepth, long nowNanos) {
        StoredPrefix longest = null;
        for (StoreTable.Store store : state.stores().all()) {
            if (!store.isUsable(nowNanos)) {
                continue;
            }
            StoredPrefix found = findInStore(store, prompt, path, startDepth);
            if (found != null && (longest == null || found.blocks.size() > longest.blocks.size())) {
                longest = found;
            }
        }
        return Optional.ofNullable(longest);
    }

    /** Returns the blocks before a depth. */
    public ImmutableList<StoredBlock> blocksUpTo(int depth) {
        return blocks.subList(0, depth - startDepth);
    }

    /** Returns the slowest tier that holds a block of the prefix. */
    public StoreTier slowestTier() {
        return cutPoints.get(cutPoints.size() - 1).diskBytes() > 0 ? StoreTier.DISK : StoreTier.MEMORY;
    }

    /** Returns the predicted milliseconds of a fetch up to the cut point, including the bytes queued on the link. */
    public double fetchMillis(CutPoint cutPoint) {
        double memory = cutPoint.memoryBytes() > 0 ? store.transferMillis(StoreTier.MEMORY, cutPoint.memoryBytes()) : 0;
        double disk = cutPoint.diskBytes() > 0 ? store.transferMillis(StoreTier.DISK, cutPoint.diskBytes()) : 0;
        return memory + disk + store.fetchMillis(StoreTier.MEMORY, 0);
    }

    /** Returns the predicted milliseconds of a fetch up to the first cut point at or behind the depth. */
    public double fetchMillis(int depth) {
        for (CutPoint cutPoint : cutPoints) {
            if (cutPoint.depth() >= depth) {
                return fetchMillis(cutPoint);
            }
        }
        return fetchMillis(cutPoints.get(cutPoints.size() - 1));
    }

    private static StoredPrefix findInStore(
            StoreTable.Store store, List<BlockKey> prompt, List<PromptNode> path, int startDepth) {
        ImmutableList.Builder<StoredBlock> blocks = ImmutableList.builder();
        List<CutPoint> cutPoints = new ArrayList<>();
        int depth = startDepth;
        long memoryBytes = 0;
        long diskBytes = 0;
        for (PromptNode node : path) {
            if (node.startDepth() + node.blockCount() <= depth) {
                continue;
            }
            Optional<PromptNode.Copy> copy = node.copyIn(store.id());
            int matching = PromptTree.matchingBlocks(node, prompt);
            int endDepth = node.startDepth()
                    + Math.min(matching, copy.map(PromptNode.Copy::blockCount).orElse(0));
            if (endDepth <= depth) {
                break;
            }
            blocks.addAll(node.storedBlocks(copy.get(), depth - node.startDepth(), endDepth - node.startDepth()));
            long bytes = (long) (endDepth - depth) * copy.get().blockBytes();
            memoryBytes += copy.get().tier() == StoreTier.MEMORY ? bytes : 0;
            diskBytes += copy.get().tier() == StoreTier.DISK ? bytes : 0;
            depth = endDepth;
            cutPoints.add(new CutPoint(depth, memoryBytes, diskBytes));
            if (endDepth < node.startDepth() + node.blockCount()) {
                break;
            }
        }
        return cutPoints.isEmpty()
                ? null
                : new StoredPrefix(store, startDepth, blocks.build(), ImmutableList.copyOf(cutPoints));
    }
}
