package org.yuccagw.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.yuccagw.core.cache.BlockKey;
import org.yuccagw.core.cache.CacheCommand;
import org.yuccagw.core.cache.CacheState;
import org.yuccagw.core.cache.PromptNode;
import org.yuccagw.core.cache.StoreTable;
import org.yuccagw.core.cache.StoreUpdate;
import org.yuccagw.core.control.ControlContext;

/**
 * Looks up blocks in the stores for prompts of which this entry knows no copy. Another entry may have exported them, or
 * this entry may have restarted since. Due to these lookups no entry has to replicate the knowledge of all others.
 *
 * <p>The routing decision waits for the answers, but not longer than the lookup deadline.
 */
final class StoreLookups {
    private static final int MIN_UNKNOWN_BLOCKS = 4;

    private final CacheState cache;
    private final Map<Long, PendingLookup> pendingLookups = new HashMap<>();
    private long nextNumber = 1;

    private StoreLookups(CacheState cache) {
        this.cache = cache;
    }

    static StoreLookups of(CacheState cache) {
        return new StoreLookups(cache);
    }

    /** A routing decision that waits for the answers of stores. */
    private static final class PendingLookup {
        private final Runnable decision;
        private ControlContext.Timer timer;
        private int missingAnswers;

        private PendingLookup(Runnable decision, int missingAnswers) {
            this.decision = decision;
            this.missingAnswers = missingAnswers;
        }
    }

    /** Returns whether enough blocks of the prompt are known neither in a store nor in the cache of a replica. */
    boolean isNeeded(List<BlockKey> blocks, List<PromptNode> path) {
        if (!cache.hasOtherEntries() || blocks.size() < MIN_UNKNOWN_BLOCKS) {
            return false;
        }
        int storedBlocks = 0;
        for (PromptNode node : path) {
            storedBlocks += node.maxCopyBlocks();
        }
        if (blocks.size() - storedBlocks < MIN_UNKNOWN_BLOCKS) {
            return false;
        }
        int[] longestCachedPrefix = {0};
        cache.replicas()
                .forEachHolder(
                        blocks,
                        id -> longestCachedPrefix[0] = Math.max(
                                longestCachedPrefix[0], cache.replicas().prefixBlocks(id, blocks)));
        return blocks.size() - longestCachedPrefix[0] >= MIN_UNKNOWN_BLOCKS;
    }

    /** Queries all usable stores, and runs the decision once when all have answered or the deadline has passed. */
    void lookUp(List<BlockKey> blocks, ControlContext context, Runnable decision) {
        List<StoreTable.Store> stores = cache.usableStores(context.nowNanos());
        if (stores.isEmpty()) {
            decision.run();
            return;
        }
        long number = nextNumber++;
        PendingLookup lookup = new PendingLookup(decision, stores.size());
        pendingLookups.put(number, lookup);
        lookup.timer = context.after(cache.settings().lookUpDeadline(), () -> finish(number));
        for (StoreTable.Store store : stores) {
            context.perform(new CacheCommand.LookUpBlocks(
                    number, new CacheCommand.StoreAddress(store.id(), store.address()), blocks));
        }
    }

    void handleBlocksFound(StoreUpdate.BlocksFound found) {
        PendingLookup lookup = pendingLookups.get(found.number());
        if (lookup != null) {
            lookup.missingAnswers--;
            if (lookup.missingAnswers == 0) {
                finish(found.number());
            }
        }
    }

    private void finish(long number) {
        PendingLookup lookup = pendingLookups.remove(number);
        if (lookup != null) {
            lookup.timer.cancel();
            lookup.decision.run();
        }
    }
}
