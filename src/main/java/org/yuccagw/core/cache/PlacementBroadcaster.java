package org.yuccagw.core.cache;

import java.util.ArrayList;
import java.util.List;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.membership.EntryStatus;
import org.yuccagw.core.membership.MembersChanged;

/**
 * Broadcasts new copies in stores to the other entries, within a budget of bytes per second. Messages beyond the budget
 * are not sent.
 *
 * <p>The broadcast is an optimization: an entry that has no record of a copy queries the stores when the prompt
 * returns. With few entries the broadcast saves this query; with many entries the budget bounds its cost.
 */
final class PlacementBroadcaster {
    private static final int MESSAGE_BYTES_PER_BLOCK = 56;
    private static final double BUDGET_BYTES_PER_SECOND = 1_000;
    private static final double MAX_BUDGET_BYTES = 8_000;

    private final CacheState state;
    private List<EntryId> aliveEntries = List.of();
    private double budgetBytes = MAX_BUDGET_BYTES;
    private double lastRefillSeconds;

    private PlacementBroadcaster(CacheState state) {
        this.state = state;
    }

    static PlacementBroadcaster of(CacheState state) {
        return new PlacementBroadcaster(state);
    }

    /** Records copies in the tree, one run of blocks of the same tier at a time. */
    static void recordCopies(CacheState state, StoreId store, List<StoreUpdate.Found> found) {
        int from = 0;
        for (int i = 1; i <= found.size(); i++) {
            if (i == found.size() || found.get(i).tier() != found.get(from).tier()) {
                List<StoredBlock> run = new ArrayList<>();
                found.subList(from, i).forEach(block -> run.add(block.block()));
                state.prompts().addCopy(store, found.get(from).tier(), run);
                from = i;
            }
        }
    }

    void updateMembers(MembersChanged members) {
        aliveEntries = members.entries().stream()
                .filter(status -> status.state() == EntryStatus.State.ALIVE)
                .map(EntryStatus::entry)
                .toList();
    }

    /**
     * Records copies that another entry reported, and their prompts, so that the entry that maintains the store can
     * compare their values.
     */
    void received(BlocksPlaced placed, ControlContext context) {
        if (state.stores().find(placed.store()).isPresent()) {
            List<BlockKey> keys =
                    placed.blocks().stream().map(found -> found.block().key()).toList();
            state.prompts().addRun(keys, placed.startDepth(), placed.scope(), CacheState.toSeconds(context.nowNanos()));
            recordCopies(state, placed.store(), placed.blocks());
        }
    }

    void broadcast(PromptScope scope, int startDepth, StoreId store, List<StoredBlock> blocks, ControlContext context) {
        refillBudget(CacheState.toSeconds(context.nowNanos()));
        List<StoreUpdate.Found> placed = new ArrayList<>();
        blocks.forEach(block -> placed.add(new StoreUpdate.Found(block, StoreTier.MEMORY)));
        for (EntryId entry : aliveEntries) {
            double costBytes = (double) blocks.size() * MESSAGE_BYTES_PER_BLOCK;
            if (!entry.equals(context.self().entry()) && budgetBytes >= costBytes) {
                budgetBytes -= costBytes;
                context.send(entry, new BlocksPlaced(scope, startDepth, store, placed));
            }
        }
    }

    private void refillBudget(double nowSeconds) {
        budgetBytes =
                Math.min(MAX_BUDGET_BYTES, budgetBytes + (nowSeconds - lastRefillSeconds) * BUDGET_BYTES_PER_SECOND);
        lastRefillSeconds = nowSeconds;
    }
}
