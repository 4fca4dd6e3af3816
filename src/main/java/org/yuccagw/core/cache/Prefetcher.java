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
 * Brings a prompt's stored blocks to an engine before the prompt is asked for, on a caller's hint.
 *
 * <p>Does nothing if an engine seems to hold as much already, or if the store's link has fetches for waiting requests:
 * those go first.
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

    void asked(PrefetchRequested requested, ControlContext context) {
        int begun = begin(requested.scope(), requested.blocks(), context);
        context.reply(() -> requested.reply().accept(begun));
    }

    void importEnded(EngineCacheUpdate.ImportEnded ended, ControlContext context) {
        List<ImportsInProgress.Import> there = running.getOrDefault(ended.endpoint(), List.of());
        for (ImportsInProgress.Import prefetch : List.copyOf(there)) {
            boolean same = !ended.asked().isEmpty()
                    && prefetch.brings(ended.asked().get(0).key());
            if (same) {
                state.imports().end(prefetch);
                there.remove(prefetch);
            }
        }
    }

    private int begin(PromptScope scope, ImmutableList<BlockKey> prompt, ControlContext context) {
        Optional<StoredPrefix> stored = StoredPrefix.find(state, prompt, 0, context.nowNanos());
        if (stored.isEmpty() || !state.isCurrent(scope)) {
            return 0;
        }
        List<EndpointStatus> candidates = state.endpoints().takingNewWork(poolOf(scope)).stream()
                .filter(endpoint -> endpoint.version().equals(Optional.of(scope.version())))
                .toList();
        int held = candidates.stream()
                .mapToInt(endpoint -> state.replicas().prefix(endpoint.id(), prompt))
                .max()
                .orElse(Integer.MAX_VALUE);
        StoreTable.Store store = stored.get().store();
        if (held >= stored.get().blocks().size() || store.foregroundBytes() > 0) {
            return 0;
        }
        EndpointStatus target = preferred(candidates, prompt);
        ImportsInProgress.Import begun = state.imports()
                .begin(
                        target.id(),
                        store,
                        stored.get().slowestTier(),
                        stored.get().blocks(),
                        context.nowNanos());
        running.computeIfAbsent(target.id(), id -> new ArrayList<>()).add(begun);
        context.perform(new CacheOrder.PrefetchBlocks(
                target,
                new CacheOrder.StoreAddress(store.id(), store.address()),
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

    private static EndpointStatus preferred(List<EndpointStatus> candidates, ImmutableList<BlockKey> prompt) {
        BlockKey name = PromptTree.affinityKey(prompt);
        EndpointStatus best = candidates.get(0);
        for (EndpointStatus candidate : candidates) {
            if (Rendezvous.weight(candidate.id().value(), name)
                    > Rendezvous.weight(best.id().value(), name)) {
                best = candidate;
            }
        }
        return best;
    }
}
