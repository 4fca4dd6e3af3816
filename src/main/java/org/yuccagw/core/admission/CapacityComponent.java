package org.yuccagw.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.yuccagw.core.catalogue.Catalogue;
import org.yuccagw.core.catalogue.CatalogueChanged;
import org.yuccagw.core.catalogue.Service;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.endpoint.EndpointsChanged;
import org.yuccagw.core.endpoint.EndpointsSnapshot;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.membership.EntryStatus;
import org.yuccagw.core.membership.MembersChanged;

/**
 * Derives the maximum number of concurrent requests of each service on this entry from the endpoints of the service
 * that accept new requests and from the entries that share them.
 *
 * <p>Callers choose their entries, so the load of the entries is uneven. Therefore each entry may use {@value
 * #LOAD_IMBALANCE_PERCENT} percent of an equal share. Further requests wait on the entry in fair order, rather than in
 * the queue of an engine, which is not fair between workspaces.
 *
 * <p>Example: with 13 replicas and 8 entries, 13 * 48 / 8 * 2 = 156 requests may run concurrently on one entry.
 */
public final class CapacityComponent implements ControlComponent {
    private static final int REQUESTS_PER_ENDPOINT = 48;
    private static final int LOAD_IMBALANCE_PERCENT = 200;
    private static final int PERCENT = 100;

    private final Map<ServiceName, Integer> lastCapacities = new HashMap<>();
    private Catalogue catalogue = Catalogue.empty();
    private EndpointsSnapshot endpoints = EndpointsSnapshot.empty();
    private long entryCount = 1;

    private CapacityComponent() {}

    public static CapacityComponent create() {
        return new CapacityComponent();
    }

    @Override
    public void handle(ControlEvent event, ControlContext context) {
        if (event instanceof CatalogueChanged changed) {
            catalogue = changed.catalogue();
        } else if (event instanceof EndpointsChanged changed) {
            endpoints = changed.endpoints();
        } else if (event instanceof MembersChanged changed) {
            entryCount = Math.max(
                    1,
                    changed.entries().stream()
                            .filter(CapacityComponent::isServing)
                            .count());
        } else {
            return;
        }
        for (Service service : catalogue.services().values()) {
            updateCapacity(service, context);
        }
    }

    private static boolean isServing(EntryStatus entry) {
        return entry.state() == EntryStatus.State.ALIVE || entry.state() == EntryStatus.State.SUSPECT;
    }

    /**
     * Raises {@link CapacityChanged} if the capacity changed. A service without endpoints keeps its last capacity,
     * because routing refuses its requests with a specific error.
     */
    private void updateCapacity(Service service, ControlContext context) {
        long endpointCount = endpoints.takingNewWork(service.pool()).size();
        long entryShare = endpointCount * REQUESTS_PER_ENDPOINT * LOAD_IMBALANCE_PERCENT / PERCENT / entryCount;
        int capacity = (int) Math.max(1, entryShare);
        Integer previous = lastCapacities.get(service.name());
        boolean unchanged = previous != null && previous == capacity;
        if (endpointCount > 0 && !unchanged) {
            lastCapacities.put(service.name(), capacity);
            context.raise(new CapacityChanged(service.name(), capacity));
        }
    }
}
