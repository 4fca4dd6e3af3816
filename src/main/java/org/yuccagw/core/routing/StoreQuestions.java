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
 * Asks the stores about prompts of which this entry knows no copy: another entry may have had them exported, or this
 * one has restarted since. So no entry has to hold what all others know.
 *
 * <p>The decision waits for the answers, but not longer than the deadline for lookups.
 */
final class StoreQuestions {
    private static final int LEAST_BLOCKS = 4;

    private final CacheState cache;
    private final Map<Long, Open> open = new HashMap<>();
    private long nextNumber = 1;

    private StoreQuestions(CacheState cache) {
        this.cache = cache;
    }

    static StoreQuestions of(CacheState cache) {
        return new StoreQuestions(cache);
    }

    private static final class Open {
        private final Runnable decision;
        private ControlContext.Timer timer;
        private int missing;

        private Open(Runnable decision, int missing) {
            this.decision = decision;
            this.missing = missing;
        }
    }

    /** Whether enough of the prompt is known neither in a store nor in a replica. */
    boolean isWorthAsking(List<BlockKey> blocks, List<PromptNode> path) {
        if (!cache.hasOtherEntries() || blocks.size() < LEAST_BLOCKS) {
            return false;
        }
        int known = 0;
        for (PromptNode node : path) {
            known += node.maxCopyBlocks();
        }
        if (blocks.size() - known < LEAST_BLOCKS) {
            return false;
        }
        int[] held = {0};
        cache.replicas()
                .forEachHolder(
                        blocks,
                        id -> held[0] = Math.max(held[0], cache.replicas().prefixBlocks(id, blocks)));
        return blocks.size() - held[0] >= LEAST_BLOCKS;
    }

    /** Asks all usable stores and runs the decision once, when they answered or the deadline passed. */
    void ask(List<BlockKey> blocks, ControlContext context, Runnable decision) {
        List<StoreTable.Store> stores = cache.usableStores(context.nowNanos());
        if (stores.isEmpty()) {
            decision.run();
            return;
        }
        long number = nextNumber++;
        Open asked = new Open(decision, stores.size());
        open.put(number, asked);
        asked.timer = context.after(cache.settings().lookUpDeadline(), () -> close(number));
        for (StoreTable.Store store : stores) {
            context.perform(new CacheCommand.LookUpBlocks(
                    number, new CacheCommand.StoreAddress(store.id(), store.address()), blocks));
        }
    }

    void found(StoreUpdate.BlocksFound found) {
        Open asked = open.get(found.number());
        if (asked != null) {
            asked.missing--;
            if (asked.missing == 0) {
                close(found.number());
            }
        }
    }

    private void close(long number) {
        Open asked = open.remove(number);
        if (asked != null) {
            asked.timer.cancel();
            asked.decision.run();
        }
    }
}
