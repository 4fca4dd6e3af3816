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
 * Reads the engines' cache events in turn, within a budget of calls a second that doesn't grow with the number of
 * engines: with more engines each is read less often. A gap in the events asks for a snapshot.
 */
final class ReplicaReader {
    private static final double LEAST_SECONDS_BETWEEN_READS = 0.5;
    private static final Duration STEP = Duration.ofMillis(250);
    private static final double STEPS_PER_SECOND = 4;

    private final CacheState state;
    private final Set<EndpointId> reading = new HashSet<>();
    private List<EndpointId> endpoints = List.of();
    private int next;
    private double credit;

    private ReplicaReader(CacheState state) {
        this.state = state;
    }

    static ReplicaReader of(CacheState state) {
        return new ReplicaReader(state);
    }

    void start(ControlContext context) {
        context.after(STEP, () -> step(context));
    }

    void takeEndpoints(List<EndpointId> known) {
        endpoints = known;
        reading.retainAll(new HashSet<>(known));
    }

    void handle(EngineCacheUpdate update, ControlContext context) {
        reading.remove(update.endpoint());
        Optional<EndpointStatus> endpoint = state.endpoints().find(update.endpoint());
        if (endpoint.isEmpty()) {
            return;
        }
        if (update instanceof EngineCacheUpdate.EventsRead read) {
            boolean gap = state.replicas().apply(read.endpoint(), read.lastSequence(), read.events());
            if (gap && reading.add(read.endpoint())) {
                context.perform(new CacheOrder.ReadCacheSnapshot(
                        read.endpoint(), endpoint.get().address()));
            }
        } else if (update instanceof EngineCacheUpdate.SnapshotRead snapshot) {
            // A snapshot of weights that aren't the known ones names keys that no prompt has: harmless, and soon read
            // again.
            state.replicas().replace(snapshot.endpoint(), snapshot.sequence(), snapshot.blocks());
        }
    }

    private void step(ControlContext context) {
        context.after(STEP, () -> step(context));
        double wanted = endpoints.size() / LEAST_SECONDS_BETWEEN_READS;
        credit = Math.min(
                endpoints.size(), credit + Math.min(wanted, state.settings().pollsPerSecond()) / STEPS_PER_SECOND);
        for (int looked = 0; looked < endpoints.size() && credit >= 1; looked++) {
            next = (next + 1) % endpoints.size();
            EndpointId id = endpoints.get(next);
            Optional<EndpointStatus> endpoint = state.endpoints().find(id);
            // A plain service has no weight version and no cache.
            boolean hasCache = endpoint.flatMap(EndpointStatus::version).isPresent();
            if (hasCache && reading.add(id)) {
                credit--;
                context.perform(new CacheOrder.ReadCacheEvents(
                        id, endpoint.get().address(), state.replicas().sequence(id)));
            }
        }
    }
}
