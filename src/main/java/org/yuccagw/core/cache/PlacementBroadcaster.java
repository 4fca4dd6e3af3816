package org.yuccagw.core.cache;

import java.util.ArrayList;
import java.util.List;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.membership.EntryStatus;
import org.yuccagw.core.membership.MembersChanged;

/**
 * Tells the other entries about new copies, within a budget of bytes a second; what passes it isn't told.
 *
 * <p>Nobody depends on it: an entry that doesn't know of a copy asks the stores when the prompt returns. Telling saves
 * that question where there are few entries, and the budget bounds its cost where there are many.
 */
final class PlacementBroadcaster {
    private static final int BYTES_PER_BLOCK = 56;
    private static final double BYTES_PER_SECOND = 1_000;
    private static final double MOST_CREDIT = 8_000;

    private final CacheState state;
    private List<EntryId> others = List.of();
    private double credit = MOST_CREDIT;
    private double creditedSeconds;

    private PlacementBroadcaster(CacheState state) {
        this.state = state;
    }

    static PlacementBroadcaster of(CacheState state) {
        return new PlacementBroadcaster(state);
    }

    /** Takes copies into the tree, tier by tier. */
    static void note(CacheState state, StoreId store, List<StoreUpdate.Found> found) {
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

    void takeMembers(MembersChanged members) {
        others = members.entries().stream()
                .filter(entry -> entry.state() == EntryStatus.State.ALIVE)
                .map(EntryStatus::entry)
                .toList();
    }

    /** Another entry's word: its prompts become known here, so that whoever keeps the store can weigh them. */
    void received(BlocksPlaced placed, ControlContext context) {
        if (state.stores().find(placed.store()).isPresent()) {
            List<BlockKey> keys =
                    placed.blocks().stream().map(found -> found.block().key()).toList();
            state.prompts().learn(keys, placed.startDepth(), placed.scope(), CacheState.seconds(context.nowNanos()));
            note(state, placed.store(), placed.blocks());
        }
    }

    void tell(PromptScope scope, int startDepth, StoreId store, List<StoredBlock> blocks, ControlContext context) {
        earn(CacheState.seconds(context.nowNanos()));
        List<StoreUpdate.Found> placed = new ArrayList<>();
        blocks.forEach(block -> placed.add(new StoreUpdate.Found(block, StoreTier.MEMORY)));
        for (EntryId other : others) {
            double cost = (double) blocks.size() * BYTES_PER_BLOCK;
            if (!other.equals(context.self().entry()) && credit >= cost) {
                credit -= cost;
                context.send(other, new BlocksPlaced(scope, startDepth, store, placed));
            }
        }
    }

    private void earn(double nowSeconds) {
        credit = Math.min(MOST_CREDIT, credit + (nowSeconds - creditedSeconds) * BYTES_PER_SECOND);
        creditedSeconds = nowSeconds;
    }
}
