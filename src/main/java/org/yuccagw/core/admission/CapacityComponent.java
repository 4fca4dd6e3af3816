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
 * How many requests of each service this entry lets run at once, from its endpoints that take new work and the entries
 * that share them.
 *
 * <p>Callers choose entries for themselves, so the load of entries is uneven: each entry may use
 * {@value #UNEVENNESS_PERCENT} in 100 of an even part. Beyond that requests wait here, in fair order, rather than in
 * an engine's queue, where nobody weighs workspaces against each other.
 *
 * <p>Example: 13 replicas, 8 entries: 13 * 48 / 8 * 2 = 156 requests at once.
 */
public final class CapacityComponent implements ControlComponent {
    private static final int REQUESTS_FOR_EACH_ENDPOINT = 48;
    private static final int UNEVENNESS_PERCENT = 200;
    private static final int PERCENT = 100;

    private final Map<ServiceName, Integer> told = new HashMap<>();
    private Catalogue catalogue = Catalogue.empty();
    private EndpointsSnapshot endpoints = EndpointsSnapshot.empty();
    private long entries = 1;

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
            entries = Math.max(
                    1,
                    changed.entries().stream().filter(CapacityComponent::serves).count());
        } else {
            return;
        }
        for (Service service : catalogue.services().values()) {
            tell(service, context);
        }
    }

    private static boolean serves(EntryStatus entry) {
        return entry.state() == EntryStatus.State.ALIVE || entry.state() == EntryStatus.State.SUSPECT;
    }

    /** A service without endpoints keeps its last capacity: routing refuses its requests, and says why. */
    private void tell(Service service, ControlContext context) {
        long serving = endpoints.takingNewWork(service.pool()).size();
        long part = serving * REQUESTS_FOR_EACH_ENDPOINT * UNEVENNESS_PERCENT / PERCENT / entries;
        int capacity = (int) Math.max(1, part);
        Integer before = told.get(service.name());
        boolean same = before != null && before == capacity;
        if (serving > 0 && !same) {
            told.put(service.name(), capacity);
            context.raise(new CapacityChanged(service.name(), capacity));
        }
    }
}
