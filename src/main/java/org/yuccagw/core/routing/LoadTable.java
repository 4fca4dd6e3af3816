package org.yuccagw.core.routing;

import java.util.HashMap;
import java.util.Map;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.id.EndpointId;

/** The estimated loads of all endpoints. A new incarnation of an endpoint starts with an empty load. */
final class LoadTable {
    private final Map<EndpointId, IncarnationLoad> byId = new HashMap<>();
    private final PrefillSpeed overallSpeed = PrefillSpeed.overall();

    private LoadTable() {}

    static LoadTable create() {
        return new LoadTable();
    }

    private record IncarnationLoad(long incarnation, EndpointLoad load) {}

    EndpointLoad of(EndpointStatus endpoint) {
        IncarnationLoad current = byId.get(endpoint.id());
        if (current == null || current.incarnation() != endpoint.incarnation()) {
            current = new IncarnationLoad(endpoint.incarnation(), EndpointLoad.of(overallSpeed));
            byId.put(endpoint.id(), current);
        }
        return current.load();
    }

    void retain(java.util.Collection<EndpointId> endpoints) {
        byId.keySet().retainAll(endpoints);
    }

    double overallTokensPerMilli() {
        return overallSpeed.tokensPerMilli();
    }
}
