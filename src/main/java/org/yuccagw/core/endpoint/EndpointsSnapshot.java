package org.yuccagw.core.endpoint;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Optional;
import org.yuccagw.core.id.EndpointId;

/** All known endpoints, read by traffic threads and the router. */
public record EndpointsSnapshot(ImmutableMap<EndpointId, EndpointStatus> byId) {
    private static final EndpointsSnapshot EMPTY = new EndpointsSnapshot(ImmutableMap.of());

    public static EndpointsSnapshot empty() {
        return EMPTY;
    }

    public Optional<EndpointStatus> find(EndpointId id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Returns the endpoints of the pool that accept new work, in the order of their ids. */
    public List<EndpointStatus> takingNewWork(String pool) {
        return byId.values().stream()
                .filter(endpoint -> endpoint.takesNewWork() && endpoint.pool().equals(pool))
                .sorted((left, right) -> left.id().compareTo(right.id()))
                .toList();
    }
}
