package org.yuccagw.core.cache;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.yuccagw.core.id.StoreId;

/**
 * A radix tree over the block keys of the prompts that may be requested again. Each node holds a run of blocks, and
 * prompts with a common prefix share the nodes of that prefix.
 *
 * <p>The key of a block depends on all blocks before it. A node can therefore be found by its first key alone, and a
 * prompt that has the last key of a node at the same depth contains the whole run, so the cost of finding a path grows
 * with the number of nodes and not with the number of blocks. Where a prompt deviates from a run, the run is split in
 * two; the split index is found by binary search.
 *
 * <p>Example: the prompts ABCD and ABXY give the node AB with the children CD and XY. When ABCD is requested again, a
 * return is recorded for AB and for CD, each after the time since its own last use.
 *
 * <p>The number of blocks is limited. Beyond the limit leaves are evicted: of a random sample the leaf with the lowest
 * Gittins index, and leaves with a stored copy only if the sample contains no other.
 */
public final class PromptTree {
    private static final int SAMPLE_SIZE = 16;
    private static final double AFFINITY_DEPTH_SHARE = 0.6;
    private static final double STORED_COPY_BONUS = 1e9;

    private final int maxBlocks;
    private final ReturnForecast forecast;
    private final Map<BlockKey, PromptNode> byFirstKey = new HashMap<>();
    private final List<PromptNode> nodes = new ArrayList<>();
    private long blockCount;

    private PromptTree(int maxBlocks, ReturnForecast forecast) {
        this.maxBlocks = maxBlocks;
        this.forecast = forecast;
    }

    /** Returns an empty tree that holds about {@code maxBlocks} blocks at most. */
    public static PromptTree of(int maxBlocks, ReturnForecast forecast) {
        return new PromptTree(maxBlocks, forecast);
    }

    public int nodeCount() {
        return nodes.size();
    }

    public long blockCount() {
        return blockCount;
    }

    /** Returns the nodes on the path of the prompt from its start. The last node may match in its first blocks only. */
    public List<PromptNode> findPath(List<BlockKey> prompt) {
        List<PromptNode> path = new ArrayList<>();
        int depth = 0;
        while (depth < prompt.size()) {
            PromptNode node = byFirstKey.get(prompt.get(depth));
            if (node == null) {
                return path;
            }
            path.add(node);
            int end = depth + node.blockCount();
            if (end > prompt.size() || !node.hasKeyAt(node.blockCount() - 1, prompt.get(end - 1))) {
                return path;
            }
            depth = end;
        }
        return path;
    }

    /** Returns how many of the node's first blocks the prompt contains at the node's depth. */
    public static int matchingBlocks(PromptNode node, List<BlockKey> prompt) {
        int matching = 0;
        int notMatching = Math.min(node.blockCount(), prompt.size() - node.startDepth()) + 1;
        while (notMatching - matching > 1) {
            int middle = (matching + notMatching) >>> 1;
            if (node.hasKeyAt(middle - 1, prompt.get(node.startDepth() + middle - 1))) {
                matching = middle;
            } else {
                notMatching = middle;
            }
        }
        return matching;
    }

    /**
     * Returns a key by which all prompts with the same preamble are routed to the same endpoint. It should be common to
     * all prompts with the preamble and to no other preamble of the workspace. As the end of the preamble isn't known,
     * the block is chosen deep in the prompt but before the question at its end, at a depth that rarely changes with
     * the length of the question.
     */
    public static BlockKey affinityKey(List<BlockKey> prompt) {
        int depth = Integer.highestOneBit(Math.max(1, (int) (prompt.size() * AFFINITY_DEPTH_SHARE)));
        return prompt.get(depth - 1);
    }

    /**
     * Records a request for a prompt: a return of the blocks that it shares with earlier prompts, and the addition of
     * the others.
     *
     * @return the path of the whole prompt
     */
    public List<PromptNode> recordRequest(
            List<BlockKey> prompt, PromptScope scope, double nowSeconds, RandomGenerator random) {
        forecast.advance(nowSeconds);
        List<PromptNode> path = findPath(prompt);
        splitLast(path, prompt);
        int depth = 0;
        PromptNode previous = null;
        for (PromptNode node : path) {
            forecast.recordReturn(node.exposure(), node.blockCount(), nowSeconds);
            recordUse(node, nowSeconds);
            previous = node;
            depth += node.blockCount();
        }
        if (depth < prompt.size()) {
            PromptNode newNode = new PromptNode(scope, previous, depth, prompt.subList(depth, prompt.size()));
            add(newNode);
            recordUse(newNode, nowSeconds);
            path.add(newNode);
        }
        evictToLimit(nowSeconds, random, path);
        return path;
    }

    /** Adds a run of blocks that was requested at another entry, unless a node with its first key exists. */
    void addRun(List<BlockKey> run, int startDepth, PromptScope scope, double nowSeconds) {
        if (!run.isEmpty() && !byFirstKey.containsKey(run.get(0))) {
            PromptNode node = new PromptNode(scope, null, startDepth, run);
            add(node);
            recordUse(node, nowSeconds);
        }
    }

    /**
     * Returns the value of keeping the node's blocks: the expected returns for each second for which they occupy
     * storage.
     */
    public double gittinsIndex(PromptNode node, double nowSeconds) {
        int group = forecast.groupNumber(node.scope().workspace(), node.scope().className(), node.uses());
        return forecast.gittinsIndex(group, nowSeconds - node.lastUseSeconds());
    }

    /** Returns the probability that the node's blocks are requested again within the horizon. */
    public double returnProbability(PromptNode node, double nowSeconds, double horizonSeconds) {
        int group = forecast.groupNumber(node.scope().workspace(), node.scope().className(), node.uses());
        return forecast.returnProbability(group, nowSeconds - node.lastUseSeconds(), horizonSeconds);
    }

    /** Records copies of blocks that match nodes from their first blocks on. Ignores other blocks. */
    public void addCopy(StoreId store, StoreTier tier, List<StoredBlock> stored) {
        int next = 0;
        while (next < stored.size()) {
            PromptNode node = byFirstKey.get(stored.get(next).key());
            if (node == null) {
                next++;
                continue;
            }
            int matchingCount = 0;
            while (matchingCount < node.blockCount()
                    && next + matchingCount < stored.size()
                    && node.hasKeyAt(
                            matchingCount, stored.get(next + matchingCount).key())) {
                matchingCount++;
            }
            node.addCopy(PromptNode.Copy.of(store, tier, stored.subList(next, next + matchingCount)));
            next += matchingCount;
        }
    }

    /** Records copies of blocks of the node, or of the ancestors that have been split off its beginning since. */
    void extendCopy(PromptNode lastNode, StoreId store, StoreTier tier, List<StoredBlock> stored) {
        for (StoredBlock block : stored) {
            int index = -1;
            for (PromptNode node = lastNode; node != null && index < 0; node = node.parent()) {
                index = node.indexOf(block.key());
                if (index >= 0) {
                    node.extendCopy(store, tier, index, block);
                }
            }
        }
    }

    /**
     * Removes blocks that the store no longer holds, and all blocks that follow them in the same copy, which can't be
     * used without them. Scans all nodes.
     */
    public void removeCopies(StoreId store, Set<BlockKey> lostKeys) {
        for (PromptNode node : nodes) {
            int copyBlocks = node.copyIn(store).map(PromptNode.Copy::blockCount).orElse(0);
            for (int i = 0; i < copyBlocks; i++) {
                if (lostKeys.contains(node.key(i))) {
                    node.truncateCopy(store, i);
                    break;
                }
            }
        }
    }

    /** Removes all copies in the store. */
    public void removeStoreCopies(StoreId store) {
        nodes.forEach(node -> node.removeCopy(store));
    }

    /** Returns a random node, null if the tree is empty. */
    PromptNode randomNode(RandomGenerator random) {
        return nodes.isEmpty() ? null : nodes.get(random.nextInt(nodes.size()));
    }

    private void splitLast(List<PromptNode> path, List<BlockKey> prompt) {
        if (path.isEmpty()) {
            return;
        }
        PromptNode last = path.get(path.size() - 1);
        int matching = matchingBlocks(last, prompt);
        if (matching == last.blockCount()) {
            return;
        }
        PromptNode head = last.splitHead(matching);
        byFirstKey.put(last.key(0), last);
        register(head);
        path.set(path.size() - 1, head);
    }

    private void recordUse(PromptNode node, double nowSeconds) {
        int group = forecast.groupNumber(node.scope().workspace(), node.scope().className(), node.nextUseNumber());
        node.recordUse(nowSeconds, forecast.addExposure(group, node.blockCount(), nowSeconds));
    }

    private void add(PromptNode node) {
        register(node);
        blockCount += node.blockCount();
        if (node.parent() != null) {
            node.parent().addChild();
        }
    }

    private void register(PromptNode node) {
        byFirstKey.put(node.key(0), node);
        node.setListPosition(nodes.size());
        nodes.add(node);
    }

    private void evictToLimit(double nowSeconds, RandomGenerator random, List<PromptNode> excluded) {
        while (blockCount > maxBlocks) {
            PromptNode lowest = null;
            double lowestIndex = Double.MAX_VALUE;
            for (int i = 0; i < SAMPLE_SIZE; i++) {
                PromptNode node = randomNode(random);
                if (node.children() > 0 || excluded.contains(node)) {
                    continue;
                }
                // A node with a copy is evicted only if the sample has no other leaf. Without its node the copy would
                // be found only by another lookup at the store.
                double index = gittinsIndex(node, nowSeconds) + (node.copies().isEmpty() ? 0 : STORED_COPY_BONUS);
                if (index < lowestIndex) {
                    lowest = node;
                    lowestIndex = index;
                }
            }
            if (lowest == null) {
                return;
            }
            remove(lowest);
        }
    }

    private void remove(PromptNode node) {
        byFirstKey.remove(node.key(0));
        PromptNode lastNode = nodes.remove(nodes.size() - 1);
        if (lastNode != node) {
            nodes.set(node.listPosition(), lastNode);
            lastNode.setListPosition(node.listPosition());
        }
        blockCount -= node.blockCount();
        if (node.parent() != null) {
            node.parent().removeChild();
        }
    }
}
