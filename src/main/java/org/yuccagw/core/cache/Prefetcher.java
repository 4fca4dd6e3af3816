package org.yuccagw.core.cache;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.id.EndpointId;

/**
 * Imports the stored blocks of a prompt into an engine before the prompt is requested, on a hint of a caller.
 *
 * <p>No import is started if an engine already seems to hold as many blocks, or while the store's link carries fetches
 * for waiting requests, which have priority.
 */
final class Prefetcher {
    private final CacheState state;
    private final Map<EndpointId, List<ImportsInProgress.Import>> running = new HashMap<>();

    private Prefetcher(CacheState state) {
        this.state = state;
    }

    static Prefetcher of(CacheState state) {
        return new Prefetcher(state);
    }

    void prefetchRequested(PrefetchRequested requested, ControlContext context) {
        int started = startImport(requested.scope(), requested.blocks(), context);
        context.reply(() -> requested.reply().accept(started));
    }

    void importEnded(EngineCacheUpdate.ImportEnded ended, ControlContext context) {
        List<ImportsInProgress.Import> prefetches = running.getOrDefault(ended.endpoint(), List.of());
        for (ImportsInProgress.Import prefetch : List.copyOf(prefetches)) {
            boolean isSameImport = !ended.requested().isEmpty()
                    && prefetch.includes(ended.requested().get(0).key());
            if (isSameImport) {
                state.imports().end(prefetch);
                prefetches.remove(prefetch);
            }
        }
    }

    private int startImport(PromptScope scope, ImmutableList<BlockKey> prompt, ControlContext context) {
        Optional<StoredPrefix> stored = StoredPrefix.find(state, prompt, 0, context.nowNanos());
        if (stored.isEmpty() || !state.isCurrent(scope)) {
            return 0;
        }
        List<EndpointStatus> candidates = state.endpoints().takingNewWork(poolOf(scope)).stream()
                .filter(endpoint -> endpoint.version().equals(Optional.of(scope.version())))
                .toList();
        int heldBlocks = candidates.stream()
                .mapToInt(endpoint -> state.replicas().prefixBlocks(endpoint.id(), prompt))
                .max()
                .orElse(Integer.MAX_VALUE);
        StoreTable.Store store = stored.get().store();
        if (heldBlocks >= stored.get().blocks().size() || store.foregroundBytes() > 0) {
            return 0;
        }
        EndpointStatus target = preferredEndpoint(candidates, prompt);
        ImportsInProgress.Import started = state.imports()
                .begin(
                        target.id(),
                        store,
                        stored.get().slowestTier(),
                        stored.get().blocks(),
                        context.nowNanos());
        running.computeIfAbsent(target.id(), id -> new ArrayList<>()).add(started);
        context.perform(new CacheCommand.PrefetchBlocks(
                target,
                new CacheCommand.StoreAddress(store.id(), store.address()),
                scope.version(),
                stored.get().blocks(),
                state.settings().importDeadline()));
        return stored.get().blocks().size();
    }

    private String poolOf(PromptScope scope) {
        return state.catalogue()
                .service(scope.service())
                .map(service -> service.pool())
                .orElse("");
    }

    private static EndpointStatus preferredEndpoint(List<EndpointStatus> candidates, ImmutableList<BlockKey> prompt) {
        BlockKey affinityKey = PromptTree.affinityKey(prompt);
        EndpointStatus best = candidates.get(0);
        for (EndpointStatus candidate : candidates) {
            if (Rendezvous.weight(candidate.id().value(), affinityKey)
                    > Rendezvous.weight(best.id().value(), affinityKey)) {
                best = candidate;
            }
        }
        return best;
    }
}
