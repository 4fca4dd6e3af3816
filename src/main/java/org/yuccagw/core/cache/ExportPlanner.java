package org.yuccagw.core.cache;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.StoreId;

/**
 * Decides which blocks are copied from engines to stores, and when.
 *
 * <p>After an answer the runs of its prompt that no store has wait here. A run leaves when a store's link is free of
 * fetches and of earlier exports, the best of those that wait longest first, if
 *
 * <ol>
 *   <li>its prompt has stayed away for a while: many return within seconds, and what they add changes;
 *   <li>the expected saving passes the cost: chance of return within a day times the prefill saved less the fetch,
 *       against the time that the link takes at the price of the background;
 *   <li>it is worth more than what the store would have to evict for it;
 *   <li>the engine still seems to hold it.
 * </ol>
 *
 * <p>A run is in one store only: a second copy would push out something that has none. The exception is a run that
 * many prompts share, which is small beside them and saves each a gap.
 */
final class ExportPlanner {
    private static final Duration STEP = Duration.ofMillis(100);
    private static final double HORIZON_SECONDS = 86_400;
    private static final double FLOOR_MARGIN = 1.1;
    private static final int MOST_WAITING = 4_096;
    private static final int LOOKED_AT = 64;
    private static final double PIECE_MILLIS = 100;

    private final CacheState state;
    private final StoreMaintenance maintenance;
    private final PlacementBroadcaster broadcaster;
    private final LinkedHashMap<PromptNode, EndpointId> waiting = new LinkedHashMap<>();
    private final LinkedHashMap<PromptNode, EndpointId> begun = new LinkedHashMap<>();
    private final Map<Long, Running> running = new HashMap<>();
    private long nextNumber = 1;

    private ExportPlanner(CacheState state, StoreMaintenance maintenance, PlacementBroadcaster broadcaster) {
        this.state = state;
        this.maintenance = maintenance;
        this.broadcaster = broadcaster;
    }

    static ExportPlanner of(CacheState state, StoreMaintenance maintenance, PlacementBroadcaster broadcaster) {
        return new ExportPlanner(state, maintenance, broadcaster);
    }

    private record Running(PromptNode node, int startDepth, StoreId store, long bytes) {}

    void start(ControlContext context) {
        context.after(STEP, () -> {
            step(context);
            start(context);
        });
    }

    /** An answer finished: its prompt's runs may be worth a copy. */
    void served(PromptServed served, ControlContext context) {
        if (state.settings().exports() == CacheSettings.ExportPolicy.NEVER) {
            return;
        }
        for (PromptNode node : state.prompts().walk(served.blocks())) {
            boolean whole = node.startDepth() + node.blocks() <= served.blocks().size();
            if (whole && needsCopy(node, context)) {
                waiting.remove(node);
                waiting.put(node, served.endpoint().id());
            }
        }
        if (state.settings().exports() == CacheSettings.ExportPolicy.ALWAYS) {
            exportAll(context);
        }
        for (Iterator<PromptNode> oldest = waiting.keySet().iterator();
                waiting.size() > MOST_WAITING && oldest.hasNext(); ) {
            oldest.next();
            oldest.remove();
        }
    }

    void ended(EngineCacheUpdate.ExportEnded ended, ControlContext context) {
        Running done = running.remove(ended.number());
        if (done == null) {
            return;
        }
        done.node().setExporting(false);
        Optional<StoreTable.Store> store = state.stores().find(done.store());
        if (store.isEmpty()) {
            return;
        }
        store.get().endExport(done.bytes());
        if (!ended.exported().isEmpty()) {
            state.prompts().extendCopy(done.node(), done.store(), StoreTier.MEMORY, ended.exported());
            broadcaster.tell(done.node().scope(), done.startDepth(), done.store(), ended.exported(), context);
            store.get()
                    .addUsed(
                            StoreTier.MEMORY,
                            ended.exported().stream()
                                    .mapToLong(StoredBlock::length)
                                    .sum());
        }
        if (ended.full()) {
            store.get().setFull();
        }
        maintenance.makeRoom(store.get(), context);
        if (!ended.exported().isEmpty() && needsCopy(done.node(), context)) {
            begun.put(done.node(), ended.endpoint());
        }
        step(context);
    }

    private boolean needsCopy(PromptNode node, ControlContext context) {
        return !node.isExporting()
                && state.isCurrent(node.scope())
                && state.usableStores(context.nowNanos()).stream()
                        .anyMatch(store -> state.isWantedIn(store, node, context.nowNanos()));
    }

    private void exportAll(ControlContext context) {
        waiting.forEach((node, endpoint) -> state.usableStores(context.nowNanos()).stream()
                .filter(store -> state.isWantedIn(store, node, context.nowNanos()))
                .findFirst()
                .ifPresent(store -> export(node, endpoint, store, context)));
        waiting.clear();
    }

    private void step(ControlContext context) {
        if (state.settings().exports() != CacheSettings.ExportPolicy.BY_VALUE) {
            return;
        }
        for (StoreTable.Store store : state.stores().all()) {
            boolean free = store.isUsable(context.nowNanos()) && store.foregroundBytes() == 0;
            while (free && store.exports() < state.settings().exportsAtOnce()) {
                free = exportNext(store, context);
            }
        }
    }

    /** Goes on with a run that was begun, else takes the best of those that wait. */
    private boolean exportNext(StoreTable.Store store, ControlContext context) {
        double nowSeconds = CacheState.seconds(context.nowNanos());
        for (Iterator<Map.Entry<PromptNode, EndpointId>> entries =
                        begun.entrySet().iterator();
                entries.hasNext(); ) {
            Map.Entry<PromptNode, EndpointId> entry = entries.next();
            boolean wanted = needsCopy(entry.getKey(), context);
            if (!wanted || state.isWantedIn(store, entry.getKey(), context.nowNanos())) {
                entries.remove();
                if (wanted && worth(entry.getKey(), store, nowSeconds) > 0) {
                    export(entry.getKey(), entry.getValue(), store, context);
                    return true;
                }
            }
        }
        PromptNode best = best(store, context);
        if (best != null) {
            export(best, waiting.remove(best), store, context);
        }
        return best != null;
    }

    private PromptNode best(StoreTable.Store store, ControlContext context) {
        double nowSeconds = CacheState.seconds(context.nowNanos());
        double delay = state.settings().exportDelay().toMillis() / 1e3;
        PromptNode best = null;
        double bestWorth = 0;
        int looked = 0;
        for (Iterator<PromptNode> nodes = waiting.keySet().iterator(); nodes.hasNext() && looked < LOOKED_AT; ) {
            PromptNode node = nodes.next();
            if (!needsCopy(node, context)) {
                nodes.remove();
                continue;
            }
            if (nowSeconds - node.lastUseSeconds() < delay) {
                break;
            }
            looked++;
            if (!state.isWantedIn(store, node, context.nowNanos())) {
                continue;
            }
            double worth = worth(node, store, nowSeconds);
            if (worth <= 0) {
                nodes.remove();
            } else if (worth > bestWorth) {
                best = node;
                bestWorth = worth;
            }
        }
        return best;
    }

    /** Expected milliseconds of prefill saved for each millisecond of the link; not above 0 if it isn't worth it. */
    private double worth(PromptNode node, StoreTable.Store store, double nowSeconds) {
        if (store.isFull() || state.index(node, nowSeconds) < store.floorIndex() * FLOOR_MARGIN) {
            return 0;
        }
        long bytes = node.blocks() * state.blockBytes(node.scope());
        double linkMillis = store.linkMillis(StoreTier.MEMORY, bytes);
        double savedMillis = node.blocks() * state.blockPrefillMillis(node.scope()) - linkMillis;
        double expected = state.prompts().chanceWithin(node, nowSeconds, HORIZON_SECONDS) * savedMillis;
        return (expected - linkMillis * state.settings().exportPrice()) / linkMillis;
    }

    private void export(PromptNode node, EndpointId endpoint, StoreTable.Store store, ControlContext context) {
        Optional<EndpointStatus> holder = state.endpoints().find(endpoint);
        if (holder.isEmpty()) {
            return;
        }
        long number = nextNumber++;
        List<BlockKey> blocks = piece(node, store);
        long bytes = blocks.size() * state.blockBytes(node.scope());
        int startDepth = node.startDepth() + node.indexOf(blocks.get(0));
        node.setExporting(true);
        store.beginExport(bytes);
        running.put(number, new Running(node, startDepth, store.id(), bytes));
        String writer = context.self().entry() + "-" + context.self().incarnation() + "-" + number;
        context.perform(new CacheOrder.ExportBlocks(
                number,
                holder.get(),
                new CacheOrder.StoreAddress(store.id(), store.address()),
                writer,
                blocks,
                state.settings().exportDeadline()));
    }

    /** What follows the copy there now: a piece that keeps the link for a short time, so that no fetch waits long. */
    private List<BlockKey> piece(PromptNode node, StoreTable.Store store) {
        int from = node.copyIn(store.id()).map(PromptNode.Copy::blocks).orElse(0);
        List<BlockKey> rest = node.keysFrom(from);
        if (state.settings().exports() == CacheSettings.ExportPolicy.ALWAYS) {
            return rest;
        }
        double blockMillis = store.linkMillis(StoreTier.MEMORY, state.blockBytes(node.scope()));
        int most = (int) Math.max(1, PIECE_MILLIS / Math.max(blockMillis, 1e-6));
        return rest.subList(0, Math.min(most, rest.size()));
    }
}
