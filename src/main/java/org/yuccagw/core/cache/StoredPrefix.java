package org.yuccagw.core.cache;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Blocks of a prompt that one store has without a gap, from some depth on.
 *
 * @param from depth of the first one
 * @param ends depths at which the prefix may be cut with little loss, growing; the last is its whole length
 */
public record StoredPrefix(
        StoreTable.Store store, int from, ImmutableList<StoredBlock> blocks, ImmutableList<End> ends) {

    /**
     * A place to cut.
     *
     * @param depth of the first block that isn't fetched
     * @param memoryBytes bytes up to there in the memory tier
     * @param diskBytes bytes up to there in the disk tier
     */
    public record End(int depth, long memoryBytes, long diskBytes) {}

    /** The longest one that starts at {@code from}, in whichever usable store has it. */
    public static Optional<StoredPrefix> find(CacheState state, List<BlockKey> prompt, int from, long nowNanos) {
        return find(state, prompt, state.prompts().walk(prompt), from, nowNanos);
    }

    /** As {@link #find(CacheState, List, int, long)}, with the prompt's path through the tree. */
    public static Optional<StoredPrefix> find(
            CacheState state, List<BlockKey> prompt, List<PromptNode> path, int from, long nowNanos) {
        StoredPrefix longest = null;
        for (StoreTable.Store store : state.stores().all()) {
            if (!store.isUsable(nowNanos)) {
                continue;
            }
            StoredPrefix found = inStore(store, prompt, path, from);
            if (found != null && (longest == null || found.blocks.size() > longest.blocks.size())) {
                longest = found;
            }
        }
        return Optional.ofNullable(longest);
    }

    /** The first blocks up to a depth. */
    public ImmutableList<StoredBlock> upTo(int depth) {
        return blocks.subList(0, depth - from);
    }

    /** The tier that decides how long the whole takes. */
    public StoreTier slowestTier() {
        return ends.get(ends.size() - 1).diskBytes() > 0 ? StoreTier.DISK : StoreTier.MEMORY;
    }

    /** Predicted milliseconds until everything up to there has arrived, behind the fetches on the link now. */
    public double fetchMillis(End end) {
        double memory = end.memoryBytes() > 0 ? store.linkMillis(StoreTier.MEMORY, end.memoryBytes()) : 0;
        double disk = end.diskBytes() > 0 ? store.linkMillis(StoreTier.DISK, end.diskBytes()) : 0;
        return memory + disk + store.fetchMillis(StoreTier.MEMORY, 0);
    }

    /** As {@link #fetchMillis(End)} for the end at or behind the depth. */
    public double fetchMillis(int depth) {
        for (End end : ends) {
            if (end.depth() >= depth) {
                return fetchMillis(end);
            }
        }
        return fetchMillis(ends.get(ends.size() - 1));
    }

    private static StoredPrefix inStore(
            StoreTable.Store store, List<BlockKey> prompt, List<PromptNode> path, int from) {
        ImmutableList.Builder<StoredBlock> blocks = ImmutableList.builder();
        List<End> ends = new ArrayList<>();
        int depth = from;
        long memoryBytes = 0;
        long diskBytes = 0;
        for (PromptNode node : path) {
            if (node.startDepth() + node.blocks() <= depth) {
                continue;
            }
            Optional<PromptNode.Copy> copy = node.copyIn(store.id());
            int agreed = PromptTree.agreeing(node, prompt);
            int end = node.startDepth()
                    + Math.min(agreed, copy.map(PromptNode.Copy::blocks).orElse(0));
            if (end <= depth) {
                break;
            }
            blocks.addAll(node.stored(copy.get(), depth - node.startDepth(), end - node.startDepth()));
            long bytes = (long) (end - depth) * copy.get().blockBytes();
            memoryBytes += copy.get().tier() == StoreTier.MEMORY ? bytes : 0;
            diskBytes += copy.get().tier() == StoreTier.DISK ? bytes : 0;
            depth = end;
            ends.add(new End(depth, memoryBytes, diskBytes));
            if (end < node.startDepth() + node.blocks()) {
                break;
            }
        }
        return ends.isEmpty() ? null : new StoredPrefix(store, from, blocks.build(), ImmutableList.copyOf(ends));
    }
}
