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
 * Who of the endpoints takes new work, merged from four sources that lag each in its own way.
 *
 * <ul>
 *   <li>The platform's list names the VMs. A VM is dropped only once it is missing there and silent as well.
 *   <li>The endpoint's own report gives version, loading and leaving.
 *   <li>Traffic shows failures. Three in a row, with those of probes, eject the endpoint for a time that doubles.
 *   <li>Other entries tell at once which endpoints they saw leaving.
 * </ul>
 *
 * <p>Leaving is final for an incarnation, whoever said it. Ejection is not, and at most half of a pool is ejected at a
 * time: a signal that is wrong for all endpoints, such as a cut of this entry's own network, can't empty a pool.
 *
 * <p>Each endpoint is probed by at most {@link #PROBERS} entries, chosen on a hash ring ({@link
 * ProbeRing}); with as many entries or fewer, by all.
 */
public final class EndpointsComponent implements ControlComponent {
    static final int PROBERS = 16;

    private static final Duration LIST_INTERVAL = Duration.ofSeconds(1);
    private static final int ENTRIES_PER_LIST_INTERVAL = 16;
    private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);
    private static final int PROBES_PER_INTERVAL = 100;
    private static final Duration SILENCE = Duration.ofSeconds(10);
    private static final int EJECTED_PART_OF_POOL = 2;
    private static final int FAN_OUT = 8;

    private final TreeMap<EndpointId, KnownEndpoint> known = new TreeMap<>();
    private final Set<Leaving> told = new HashSet<>();
    private ControlContext context;
    private Set<String> modelPools = Set.of();
    /** Null after a change of members, until the next probes. */
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
        readList();
        context.after(PROBE_INTERVAL, this::probeSome);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        if (event instanceof PlatformListed list) {
            takeList(list);
        } else if (event instanceof EndpointReported report) {
            takeReport(report);
        } else if (event instanceof ProbeFailed failed) {
            observe(failed.endpoint(), failed.incarnation(), Outcome.CONNECT_FAILED);
        } else if (event instanceof AttemptObserved observed) {
            observe(observed.endpoint(), observed.incarnation(), observed.outcome());
        } else if (event instanceof PeerReceived received
                && received.message() instanceof EndpointSightings sightings) {
            sightings.leaving().forEach(this::takeSighting);
        } else if (event instanceof MembersChanged changed) {
            takeMembers(changed);
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

    // ---- Sources.

    private void takeList(PlatformListed list) {
        Set<EndpointId> listed = new HashSet<>();
        for (ListedVm vm : list.vms()) {
            if (vm.kind() == VmKind.ENDPOINT) {
                KnownEndpoint endpoint = known.computeIfAbsent(
                        EndpointId.of(vm.name()), id -> new KnownEndpoint(vm, context.nowNanos()));
                endpoint.listed(vm);
                listed.add(endpoint.id());
                if (endpoint.isLeaving()) {
                    tell(endpoint);
                }
            }
        }
        for (KnownEndpoint endpoint : known.values()) {
            if (!listed.contains(endpoint.id())) {
                endpoint.missing(context.nowNanos());
            }
        }
        known.values().removeIf(endpoint -> endpoint.isGone(context.nowNanos(), SILENCE));
        told.removeIf(leaving -> !known.containsKey(leaving.endpoint()));
        publishIfChanged();
    }

    private void takeReport(EndpointReported report) {
        KnownEndpoint endpoint = known.get(report.endpoint());
        if (endpoint == null || !endpoint.reported(report, context.nowNanos())) {
            return;
        }
        if (endpoint.isLeaving()) {
            tell(endpoint);
        }
        publishIfChanged(endpoint);
    }

    private void observe(EndpointId id, long incarnation, Outcome outcome) {
        KnownEndpoint endpoint = known.get(id);
        if (endpoint == null || endpoint.incarnation() != incarnation) {
            return;
        }
        switch (outcome) {
            case ANSWERED -> endpoint.succeeded(context.nowNanos());
            case SAID_LEAVING -> {
                endpoint.leaving(incarnation);
                tell(endpoint);
            }
            case CONNECT_FAILED, FAILED, SILENT, DIED -> {
                if (endpoint.failed() && mayEject(endpoint)) {
                    endpoint.eject(context.nowNanos());
                }
            }
            default -> {
                // An overloaded endpoint works; the router sees its load.
            }
        }
        publishIfChanged(endpoint);
    }

    private void takeSighting(Leaving leaving) {
        KnownEndpoint endpoint = known.get(leaving.endpoint());
        if (endpoint != null) {
            endpoint.leaving(leaving.incarnation());
            if (endpoint.isLeaving()) {
                tell(endpoint);
            }
            publishIfChanged(endpoint);
        }
    }

    /** Passes a leaving endpoint on, once for each incarnation; all entries do, so that all hear it. */
    private void tell(KnownEndpoint endpoint) {
        Leaving leaving = new Leaving(endpoint.id(), endpoint.incarnation());
        if (!told.add(leaving)) {
            return;
        }
        List<EntryId> others = new ArrayList<>(entries);
        others.remove(context.self().entry());
        EndpointSightings sightings = new EndpointSightings(ImmutableList.of(leaving));
        for (int chosen = 0; chosen < Math.min(FAN_OUT, others.size()); chosen++) {
            Collections.swap(others, chosen, chosen + context.random().nextInt(others.size() - chosen));
            context.send(others.get(chosen), sightings);
        }
    }

    private boolean mayEject(KnownEndpoint candidate) {
        List<KnownEndpoint> pool = known.values().stream()
                .filter(endpoint -> endpoint.pool().equals(candidate.pool()) && !endpoint.isLeaving())
                .toList();
        long ejected = pool.stream().filter(KnownEndpoint::isEjected).count();
        return ejected < pool.size() / EJECTED_PART_OF_POOL;
    }

    // ---- Asking.

    private void readList() {
        context.perform(new ReadPlatformList());
        // With many entries each reads more rarely; what one of them sees leaving it tells the others.
        context.after(LIST_INTERVAL.multipliedBy(1L + entries.size() / ENTRIES_PER_LIST_INTERVAL), this::readList);
    }

    /** Probes the next ones in the order of ids, round and round, at most a fixed number in an interval. */
    private void probeSome() {
        context.after(PROBE_INTERVAL, this::probeSome);
        boolean readmitted = false;
        for (KnownEndpoint endpoint : known.values()) {
            readmitted |= endpoint.readmit(context.nowNanos());
        }
        if (readmitted) {
            publishIfChanged();
        }
        if (ring == null) {
            ring = ProbeRing.of(context.self().entry(), entries, PROBERS);
        }
        List<KnownEndpoint> turn =
                new ArrayList<>(known.tailMap(lastProbed, false).values());
        turn.addAll(known.headMap(lastProbed, true).values());
        int probed = 0;
        for (KnownEndpoint endpoint : turn) {
            if (probed == PROBES_PER_INTERVAL) {
                return;
            }
            if (modelPools.contains(endpoint.pool()) && ring.covers(endpoint.place())) {
                context.perform(new ProbeEndpoint(
                        endpoint.id(), endpoint.incarnation(), endpoint.vm().address()));
                probed++;
            }
            lastProbed = endpoint.id();
        }
    }

    private void takeMembers(MembersChanged changed) {
        entries = changed.entries().stream()
                .filter(entry -> entry.state() != State.DEAD)
                .map(EntryStatus::entry)
                .toList();
        ring = null;
    }

    /** Most reports change nothing that others see; then the snapshot of all endpoints isn't made anew. */
    private void publishIfChanged(KnownEndpoint endpoint) {
        boolean same =
                snapshot.find(endpoint.id()).map(endpoint.status()::equals).orElse(false);
        if (!same) {
            publishIfChanged();
        }
    }

    private void publishIfChanged() {
        ImmutableMap.Builder<EndpointId, EndpointStatus> statuses = ImmutableMap.builder();
        for (Map.Entry<EndpointId, KnownEndpoint> endpoint : known.entrySet()) {
            statuses.put(endpoint.getKey(), endpoint.getValue().status());
        }
        ImmutableMap<EndpointId, EndpointStatus> now = statuses.buildOrThrow();
        if (!now.equals(snapshot.byId())) {
            snapshot = new EndpointsSnapshot(now);
            context.raise(new EndpointsChanged(snapshot));
        }
    }
}
