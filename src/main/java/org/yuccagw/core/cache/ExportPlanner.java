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
 * <p>After an answer, the runs of its prompt that still need a copy in a store are added to a waiting list. When the
 * link of a store carries no fetches and fewer exports than the limit, the run with the highest net benefit among those
 * that have waited longest is exported, if
 *
 * <ol>
 *   <li>its prompt has not been requested for the export delay: many prompts return within seconds, and the blocks that
 *       they append change;
 *   <li>the expected saving exceeds the cost. The saving is the probability of a return within a day times the prefill
 *       time saved minus the fetch time; the cost is the link time of the export times the export cost factor;
 *   <li>its Gittins index exceeds, by a margin, that of the blocks that the store would have to evict for it;
 *   <li>the engine still seems to hold it.
 * </ol>
 *
 * <p>A run is stored in one store only, because a second copy would evict blocks that have no other copy. The exception
 * is a run that many prompts share: it is small compared to them, and a copy in each store avoids a gap in the stored
 * prefix of each of them.
 */
final class ExportPlanner {
    private static final Duration INTERVAL = Duration.ofMillis(100);
    private static final double HORIZON_SECONDS = 86_400;
    private static final double ADMISSION_MARGIN = 1.1;
    private static final int MAX_WAITING_RUNS = 4_096;
    private static final int MAX_CANDIDATES = 64;
    private static final double CHUNK_MILLIS = 100;

    private final CacheState state;
    private final StoreMaintenance maintenance;
    private final PlacementBroadcaster broadcaster;
    private final LinkedHashMap<PromptNode, EndpointId> waiting = new LinkedHashMap<>();
    private final LinkedHashMap<PromptNode, EndpointId> partlyExported = new LinkedHashMap<>();
    private final Map<Long, RunningExport> runningExports = new HashMap<>();
    private long nextNumber = 1;

    private ExportPlanner(CacheState state, StoreMaintenance maintenance, PlacementBroadcaster broadcaster) {
        this.state = state;
        this.maintenance = maintenance;
        this.broadcaster = broadcaster;
    }

    static ExportPlanner of(CacheState state, StoreMaintenance maintenance, PlacementBroadcaster broadcaster) {
        return new ExportPlanner(state, maintenance, broadcaster);
    }

    private record RunningExport(PromptNode node, int startDepth, StoreId store, long bytes) {}

    void start(ControlContext context) {
        context.after(INTERVAL, () -> {
            startExports(context);
            start(context);
        });
    }

    /** Adds the runs of an answered prompt that need a copy to the waiting list. */
    void promptServed(PromptServed served, ControlContext context) {
        if (state.settings().exports() == CacheSettings.ExportPolicy.NEVER) {
            return;
        }
        for (PromptNode node : state.prompts().findPath(served.blocks())) {
            boolean isWhole =
                    node.startDepth() + node.blockCount() <= served.blocks().size();
            if (isWhole && needsCopy(node, context)) {
                waiting.remove(node);
                waiting.put(node, served.endpoint().id());
            }
        }
        if (state.settings().exports() == CacheSettings.ExportPolicy.ALWAYS) {
            exportAll(context);
        }
        for (Iterator<PromptNode> oldest = waiting.keySet().iterator();
                waiting.size() > MAX_WAITING_RUNS && oldest.hasNext(); ) {
            oldest.next();
            oldest.remove();
        }
    }

    void exportEnded(EngineCacheUpdate.ExportEnded ended, ControlContext context) {
        RunningExport finished = runningExports.remove(ended.number());
        if (finished == null) {
            return;
        }
        finished.node().setExporting(false);
        Optional<StoreTable.Store> store = state.stores().find(finished.store());
        if (store.isEmpty()) {
            return;
        }
        store.get().endExport(finished.bytes());
        if (!ended.exported().isEmpty()) {
            state.prompts().extendCopy(finished.node(), finished.store(), StoreTier.MEMORY, ended.exported());
            broadcaster.broadcast(
                    finished.node().scope(), finished.startDepth(), finished.store(), ended.exported(), context);
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
        maintenance.freeCapacity(store.get(), context);
        if (!ended.exported().isEmpty() && needsCopy(finished.node(), context)) {
            partlyExported.put(finished.node(), ended.endpoint());
        }
        startExports(context);
    }

    private boolean needsCopy(PromptNode node, ControlContext context) {
        return !node.isExporting()
                && state.isCurrent(node.scope())
                && state.usableStores(context.nowNanos()).stream()
                        .anyMatch(store -> state.needsCopyIn(store, node, context.nowNanos()));
    }

    private void exportAll(ControlContext context) {
        waiting.forEach((node, endpoint) -> state.usableStores(context.nowNanos()).stream()
                .filter(store -> state.needsCopyIn(store, node, context.nowNanos()))
                .findFirst()
                .ifPresent(store -> startExport(node, endpoint, store, context)));
        waiting.clear();
    }

    private void startExports(ControlContext context) {
        if (state.settings().exports() != CacheSettings.ExportPolicy.BY_VALUE) {
            return;
        }
        for (StoreTable.Store store : state.stores().all()) {
            boolean isLinkFree = store.isUsable(context.nowNanos()) && store.foregroundBytes() == 0;
            while (isLinkFree && store.exports() < state.settings().maxConcurrentExports()) {
                isLinkFree = startNextExport(store, context);
            }
        }
    }

    /**
     * Continues a partly exported run, or else starts the export of the best waiting run.
     *
     * @return whether an export was started
     */
    private boolean startNextExport(StoreTable.Store store, ControlContext context) {
        double nowSeconds = CacheState.toSeconds(context.nowNanos());
        for (Iterator<Map.Entry<PromptNode, EndpointId>> entries =
                        partlyExported.entrySet().iterator();
                entries.hasNext(); ) {
            Map.Entry<PromptNode, EndpointId> entry = entries.next();
            boolean needsCopy = needsCopy(entry.getKey(), context);
            if (!needsCopy || state.needsCopyIn(store, entry.getKey(), context.nowNanos())) {
                entries.remove();
                if (needsCopy && netBenefit(entry.getKey(), store, nowSeconds) > 0) {
                    startExport(entry.getKey(), entry.getValue(), store, context);
                    return true;
                }
            }
        }
        PromptNode bestNode = bestNode(store, context);
        if (bestNode != null) {
            startExport(bestNode, waiting.remove(bestNode), store, context);
        }
        return bestNode != null;
    }

    private PromptNode bestNode(StoreTable.Store store, ControlContext context) {
        double nowSeconds = CacheState.toSeconds(context.nowNanos());
        double delay = state.settings().exportDelay().toMillis() / 1e3;
        PromptNode bestNode = null;
        double bestBenefit = 0;
        int considered = 0;
        for (Iterator<PromptNode> nodes = waiting.keySet().iterator();
                nodes.hasNext() && considered < MAX_CANDIDATES; ) {
            PromptNode node = nodes.next();
            if (!needsCopy(node, context)) {
                nodes.remove();
                continue;
            }
            if (nowSeconds - node.lastUseSeconds() < delay) {
                break;
            }
            considered++;
            if (!state.needsCopyIn(store, node, context.nowNanos())) {
                continue;
            }
            double netBenefit = netBenefit(node, store, nowSeconds);
            if (netBenefit <= 0) {
                nodes.remove();
            } else if (netBenefit > bestBenefit) {
                bestNode = node;
                bestBenefit = netBenefit;
            }
        }
        return bestNode;
    }

    /**
     * Returns the net benefit of an export: the expected milliseconds of prefill saved, minus the cost, for each
     * millisecond of link time. It is 0 or negative if the run should not be exported.
     */
    private double netBenefit(PromptNode node, StoreTable.Store store, double nowSeconds) {
        if (store.isFull() || state.gittinsIndex(node, nowSeconds) < store.admissionThreshold() * ADMISSION_MARGIN) {
            return 0;
        }
        long bytes = node.blockCount() * state.blockBytes(node.scope());
        double linkMillis = store.transferMillis(StoreTier.MEMORY, bytes);
        double savedMillis = node.blockCount() * state.blockPrefillMillis(node.scope()) - linkMillis;
        double expectedSavedMillis = state.prompts().returnProbability(node, nowSeconds, HORIZON_SECONDS) * savedMillis;
        return (expectedSavedMillis - linkMillis * state.settings().exportCostFactor()) / linkMillis;
    }

    private void startExport(PromptNode node, EndpointId endpoint, StoreTable.Store store, ControlContext context) {
        Optional<EndpointStatus> engine = state.endpoints().find(endpoint);
        if (engine.isEmpty()) {
            return;
        }
        long number = nextNumber++;
        List<BlockKey> blocks = nextChunk(node, store);
        long bytes = blocks.size() * state.blockBytes(node.scope());
        int startDepth = node.startDepth() + node.indexOf(blocks.get(0));
        node.setExporting(true);
        store.beginExport(bytes);
        runningExports.put(number, new RunningExport(node, startDepth, store.id(), bytes));
        String writer = context.self().entry() + "-" + context.self().incarnation() + "-" + number;
        context.perform(new CacheCommand.ExportBlocks(
                number,
                engine.get(),
                new CacheCommand.StoreAddress(store.id(), store.address()),
                writer,
                blocks,
                state.settings().exportDeadline()));
    }

    /**
     * Returns the next blocks after those that the store holds. Their number is limited so that the export occupies the
     * link for a short time and no fetch waits long.
     */
    private List<BlockKey> nextChunk(PromptNode node, StoreTable.Store store) {
        int from = node.copyIn(store.id()).map(PromptNode.Copy::blockCount).orElse(0);
        List<BlockKey> remaining = node.keysFrom(from);
        if (state.settings().exports() == CacheSettings.ExportPolicy.ALWAYS) {
            return remaining;
        }
        double blockMillis = store.transferMillis(StoreTier.MEMORY, state.blockBytes(node.scope()));
        int maxBlocks = (int) Math.max(1, CHUNK_MILLIS / Math.max(blockMillis, 1e-6));
        return remaining.subList(0, Math.min(maxBlocks, remaining.size()));
    }
}
