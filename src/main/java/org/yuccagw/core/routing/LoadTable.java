package org.yuccagw.core.routing;

import java.util.HashMap;
import java.util.Map;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.id.EndpointId;

/** The loads of all endpoints; a new incarnation starts anew. */
final class LoadTable {
    private final Map<EndpointId, Entry> byId = new HashMap<>();
    private final PrefillSpeed usual = PrefillSpeed.usual();

    private LoadTable() {}

    static LoadTable create() {
        return new LoadTable();
    }

    private record Entry(long incarnation, EndpointLoad load) {}

    EndpointLoad of(EndpointStatus endpoint) {
        Entry entry = byId.get(endpoint.id());
        if (entry == null || entry.incarnation() != endpoint.incarnation()) {
            entry = new Entry(endpoint.incarnation(), EndpointLoad.of(usual));
            byId.put(endpoint.id(), entry);
        }
        return entry.load();
    }

    void retain(java.util.Collection<EndpointId> known) {
        byId.keySet().retainAll(known);
    }

    double usualTokensPerMilli() {
        return usual.tokensPerMilli();
    }
}
