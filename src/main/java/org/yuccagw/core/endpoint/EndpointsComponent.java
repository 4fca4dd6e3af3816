package org.yuccagw.core.endpoint;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.yuccagw.core.catalogue.CatalogueChanged;
import org.yuccagw.core.catalogue.Service;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.endpoint.AttemptObserved.Outcome;
import org.yuccagw.core.endpoint.EndpointSightings.Leaving;
import org.yuccagw.core.endpoint.PlatformListed.ListedVm;
import org.yuccagw.core.endpoint.PlatformListed.VmKind;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.membership.EntryStatus;
import org.yuccagw.core.membership.EntryStatus.State;
import org.yuccagw.core.membership.MembersChanged;

/**
 * Determines which endpoints accept new work, merged from four sources with different delays.
 *
 * <ul>
 *   <li>The platform's list names the VMs. A VM is removed only if it is missing from the list and silent as well.
 *   <li>The endpoint's own report contains its version and whether it is loading or leaving.
 *   <li>Traffic shows failures. Three in a row, counting failed probes, eject the endpoint for a period that doubles
 *       each time.
 *   <li>Other entries forward at once which endpoints they observed leaving.
 * </ul>
 *
 * <p>Leaving is final for an incarnation, whichever source reports it. Ejection is not, and at most half of a pool is
 * ejected at a time, so that a wrong signal about all endpoints, such as a network failure of this entry, can't empty a
 * pool.
 *
 * <p>Each endpoint is probed by at most {@link #PROBERS_PER_ENDPOINT} entries, chosen on a hash ring ({@link
 * ProbeRing}); with as many entries or fewer, by all of them.
 */
public final class EndpointsComponent implements ControlComponent {
    static final int PROBERS_PER_ENDPOINT = 16;

    private static final Duration LIST_INTERVAL = Duration.ofSeconds(1);
    private static final int ENTRIES_PER_LIST_INTERVAL = 16;
    private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);
    private static final Duration MIN_PROBE_INTERVAL = Duration.ofMillis(100);
    private static final int MAX_PROBES_PER_INTERVAL = 100;
    private static final Duration REMOVAL_TIMEOUT = Duration.ofSeconds(10);
    private static final int EJECTED_POOL_DIVISOR = 2;
    private static final int SIGHTING_FAN_OUT = 8;

    private final TreeMap<EndpointId, KnownEndpoint> endpoints = new TreeMap<>();
    private final Set<Leaving> forwarded = new HashSet<>();
    private final Set<EndpointId> probedAfterRefusal = new HashSet<>();
    private ControlContext context;
    private Set<String> modelPools = Set.of();
    /** Null from a change of members until the next probes. */
    private ProbeRing ring;

    private List<EntryId> entries = List.of();
    private EndpointsSnapshot snapshot = EndpointsSnapshot.empty();
    private EndpointId lastProbed = EndpointId.of("-");

    private EndpointsComponent() {}

    public static EndpointsComponent of() {
        return new EndpointsComponent();
    }

    @Override
    public void start(ControlContext startContext) {
        context = startContext;
        entries = List.of(context.self().entry());
        requestList();
        context.after(PROBE_INTERVAL, this::probeNext);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof PlatformListed list) {
            onList(list);
        } else if (event instanceof EndpointReported report) {
            onReport(report);
        } else if (event instanceof ProbeFailed failed) {
            onOutcome(failed.endpoint(), failed.incarnation(), Outcome.CONNECT_FAILED);
        } else if (event instanceof AttemptObserved observed) {
            onOutcome(observed.endpoint(), observed.incarnation(), observed.outcome());
        } else if (event instanceof PeerReceived received
                && received.message() instanceof EndpointSightings sightings) {
            sightings.leaving().forEach(this::onSighting);
        } else if (event instanceof MembersChanged changed) {
            onMembers(changed);
        } else if (event instanceof CatalogueChanged changed) {
            modelPools = changed.catalogue().services().values().stream()
                    .filter(service -> service.model().isPresent())
                    .map(Service::pool)
                    .collect(Collectors.toSet());
        }
    }

    @Override
    public void contribute(ControlSnapshot.Builder builder) {
        builder.put(EndpointsSnapshot.class, snapshot);
    }

    // ---- Sources of endpoint state.

    private void onList(PlatformListed list) {
        Set<EndpointId> listed = new HashSet<>();
        for (ListedVm vm : list.vms()) {
            if (vm.kind() == VmKind.ENDPOINT) {
                KnownEndpoint endpoint = endpoints.computeIfAbsent(
                        EndpointId.of(vm.name()), id -> new KnownEndpoint(vm, context.nowNanos()));
                endpoint.onListed(vm);
                listed.add(endpoint.id());
                if (endpoint.isLeaving()) {
                    forwardLeaving(endpoint);
                }
            }
        }
        for (KnownEndpoint endpoint : endpoints.values()) {
            if (!listed.contains(endpoint.id())) {
                endpoint.onMissing(context.nowNanos());
            }
        }
        endpoints.values().removeIf(endpoint -> endpoint.isRemoved(context.nowNanos(), REMOVAL_TIMEOUT));
        forwarded.removeIf(leaving -> !endpoints.containsKey(leaving.endpoint()));
        publishIfChanged();
    }

    private void onReport(EndpointReported report) {
        KnownEndpoint endpoint = endpoints.get(report.endpoint());
        if (endpoint == null || !endpoint.onReport(report, context.nowNanos())) {
            return;
        }
        if (endpoint.isLeaving()) {
            forwardLeaving(endpoint);
        }
        publishIfChanged(endpoint);
    }

    private void onOutcome(EndpointId id, long incarnation, Outcome outcome) {
        KnownEndpoint endpoint = endpoints.get(id);
        if (endpoint == null || endpoint.incarnation() != incarnation) {
            return;
        }
        switch (outcome) {
            case ANSWERED -> endpoint.recordSuccess(context.nowNanos());
            case WRONG_VERSION -> {
                endpoint.recordSuccess(context.nowNanos());
                probeSoon(endpoint);
            }
            case SAID_LEAVING -> {
                endpoint.onLeaving(incarnation);
                forwardLeaving(endpoint);
            }
            case CONNECT_FAILED, FAILED, SILENT, DIED -> {
                if (endpoint.recordFailure() && mayEject(endpoint)) {
                    endpoint.eject(context.nowNanos());
                }
            }
            default -> {
                // An overloaded endpoint works; the router handles its load.
            }
        }
        publishIfChanged(endpoint);
    }

    private void onSighting(Leaving leaving) {
        KnownEndpoint endpoint = endpoints.get(leaving.endpoint());
        if (endpoint != null) {
            endpoint.onLeaving(leaving.incarnation());
            if (endpoint.isLeaving()) {
                forwardLeaving(endpoint);
            }
            publishIfChanged(endpoint);
        }
    }

    /**
     * Forwards a leaving endpoint to some other entries, once for each incarnation. Every entry forwards it, so that
     * all receive it.
     */
    private void forwardLeaving(KnownEndpoint endpoint) {
        Leaving leaving = new Leaving(endpoint.id(), endpoint.incarnation());
        if (!forwarded.add(leaving)) {
            return;
        }
        List<EntryId> others = new ArrayList<>(entries);
        others.remove(context.self().entry());
        EndpointSightings sightings = new EndpointSightings(ImmutableList.of(leaving));
        for (int chosen = 0; chosen < Math.min(SIGHTING_FAN_OUT, others.size()); chosen++) {
            Collections.swap(others, chosen, chosen + context.random().nextInt(others.size() - chosen));
            context.send(others.get(chosen), sightings);
        }
    }

    private boolean mayEject(KnownEndpoint candidate) {
        List<KnownEndpoint> pool = endpoints.values().stream()
                .filter(endpoint -> endpoint.pool().equals(candidate.pool()) && !endpoint.isLeaving())
                .toList();
        long ejected = pool.stream().filter(KnownEndpoint::isEjected).count();
        return ejected < pool.size() / EJECTED_POOL_DIVISOR;
    }

    // ---- Platform list and probes.

    private void requestList() {
        context.perform(new ReadPlatformList());
        // With many entries each entry reads the list less often; an endpoint that one of them observes leaving is
        // forwarded to the others.
        context.after(LIST_INTERVAL.multipliedBy(1L + entries.size() / ENTRIES_PER_LIST_INTERVAL), this::requestList);
    }

    /** Probes the next endpoints in the order of their ids, round robin, at most a fixed number per interval. */
    private void probeNext() {
        context.after(PROBE_INTERVAL, this::probeNext);
        boolean readmitted = false;
        for (KnownEndpoint endpoint : endpoints.values()) {
            readmitted |= endpoint.readmit(context.nowNanos());
        }
        if (readmitted) {
            publishIfChanged();
        }
        if (ring == null) {
            ring = ProbeRing.of(context.self().entry(), entries, PROBERS_PER_ENDPOINT);
        }
        List<KnownEndpoint> probeOrder =
                new ArrayList<>(endpoints.tailMap(lastProbed, false).values());
        probeOrder.addAll(endpoints.headMap(lastProbed, true).values());
        int probed = 0;
        for (KnownEndpoint endpoint : probeOrder) {
            if (probed == MAX_PROBES_PER_INTERVAL) {
                return;
            }
            if (modelPools.contains(endpoint.pool()) && ring.covers(endpoint.ringPosition())) {
                probe(endpoint);
                probed++;
            }
            lastProbed = endpoint.id();
        }
    }

    private void probe(KnownEndpoint endpoint) {
        context.perform(new ProbeEndpoint(
                endpoint.id(), endpoint.incarnation(), endpoint.vm().address()));
    }

    /**
     * Probes an engine that has refused a request because it runs another version than this entry knows. Until its next
     * regular probe it would refuse all further requests as well, and a request has only a few attempts. Engines refuse
     * many requests at once, so the probes of one engine are spaced.
     */
    private void probeSoon(KnownEndpoint endpoint) {
        if (probedAfterRefusal.add(endpoint.id())) {
            probe(endpoint);
            context.after(MIN_PROBE_INTERVAL, () -> probedAfterRefusal.remove(endpoint.id()));
        }
    }

    private void onMembers(MembersChanged changed) {
        entries = changed.entries().stream()
                .filter(entry -> entry.state() != State.DEAD)
                .map(EntryStatus::entry)
                .toList();
        ring = null;
    }

    /** Skips building a new snapshot of all endpoints if the status of this one is unchanged, as after most reports. */
    private void publishIfChanged(KnownEndpoint endpoint) {
        boolean isUnchanged =
                snapshot.find(endpoint.id()).map(endpoint.status()::equals).orElse(false);
        if (!isUnchanged) {
            publishIfChanged();
        }
    }

    private void publishIfChanged() {
        ImmutableMap.Builder<EndpointId, EndpointStatus> statuses = ImmutableMap.builder();
        for (Map.Entry<EndpointId, KnownEndpoint> endpoint : endpoints.entrySet()) {
            statuses.put(endpoint.getKey(), endpoint.getValue().status());
        }
        ImmutableMap<EndpointId, EndpointStatus> current = statuses.buildOrThrow();
        if (!current.equals(snapshot.byId())) {
            snapshot = new EndpointsSnapshot(current);
            context.raise(new EndpointsChanged(snapshot));
        }
    }
}
