package org.yuccagw.core.cache;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.id.EndpointId;

/**
 * Polls the cache events of the engines in turn, within a budget of reads per second that doesn't grow with the number
 * of engines: with more engines, each is polled less often. After a gap in the events of an engine its snapshot is
 * read.
 */
final class CacheEventPoller {
    private static final double MIN_SECONDS_BETWEEN_READS = 0.5;
    private static final Duration INTERVAL = Duration.ofMillis(250);
    private static final double INTERVALS_PER_SECOND = 4;

    private final CacheState state;
    private final Set<EndpointId> readsInProgress = new HashSet<>();
    private List<EndpointId> endpoints = List.of();
    private int nextIndex;
    private double readCredit;

    private CacheEventPoller(CacheState state) {
        this.state = state;
    }

    static CacheEventPoller of(CacheState state) {
        return new CacheEventPoller(state);
    }

    void start(ControlContext context) {
        context.after(INTERVAL, () -> poll(context));
    }

    void updateEndpoints(List<EndpointId> current) {
        endpoints = current;
        readsInProgress.retainAll(new HashSet<>(current));
    }

    void handle(EngineCacheUpdate update, ControlContext context) {
        readsInProgress.remove(update.endpoint());
        Optional<EndpointStatus> endpoint = state.endpoints().find(update.endpoint());
        if (endpoint.isEmpty()) {
            return;
        }
        if (update instanceof EngineCacheUpdate.EventsRead read) {
            boolean needsSnapshot = state.replicas().apply(read.endpoint(), read.lastSequence(), read.events());
            if (needsSnapshot && readsInProgress.add(read.endpoint())) {
                context.perform(new CacheCommand.ReadCacheSnapshot(
                        read.endpoint(), endpoint.get().address()));
            }
        } else if (update instanceof EngineCacheUpdate.SnapshotRead snapshot) {
            // The keys of a snapshot that was taken under other weights match no prompt. This is harmless, and another
            // snapshot is read soon.
            state.replicas().replace(snapshot.endpoint(), snapshot.sequence(), snapshot.blocks());
        }
    }

    private void poll(ControlContext context) {
        context.after(INTERVAL, () -> poll(context));
        double readsPerSecond = endpoints.size() / MIN_SECONDS_BETWEEN_READS;
        readCredit = Math.min(
                endpoints.size(),
                readCredit + Math.min(readsPerSecond, state.settings().pollsPerSecond()) / INTERVALS_PER_SECOND);
        for (int checked = 0; checked < endpoints.size() && readCredit >= 1; checked++) {
            nextIndex = (nextIndex + 1) % endpoints.size();
            EndpointId id = endpoints.get(nextIndex);
            Optional<EndpointStatus> endpoint = state.endpoints().find(id);
            // An endpoint of a plain service has no weight version and no cache.
            boolean hasCache = endpoint.flatMap(EndpointStatus::version).isPresent();
            if (hasCache && readsInProgress.add(id)) {
                readCredit--;
                context.perform(new CacheCommand.ReadCacheEvents(
                        id, endpoint.get().address(), state.replicas().lastSequence(id)));
            }
        }
    }
}
