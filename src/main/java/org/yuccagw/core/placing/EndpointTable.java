package org.yuccagw.core.placing;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.function.Predicate;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.Decision;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.deployment.ColdTraits;
import org.yuccagw.core.duty.WeightOrdersComponent;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.fleet.ModelWeights;
import org.yuccagw.core.follow.KeyValueFollowComponent;
import org.yuccagw.core.follow.KeyValueRecord;
import org.yuccagw.core.follow.KeyValueRecordRemoved;
import org.yuccagw.core.follow.KeyValueRecordUpdated;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.notice.EndpointLeaving;
import org.yuccagw.core.pacing.RecentPrefill;
import org.yuccagw.core.peers.PeerStatus;
import org.yuccagw.core.peers.PeersComponent;

/**
 * Maintains the state known locally of all endpoints: registrations, the load reported by other entries,
 * weight loading, and weight versions.
 *
 * <p>Invariant: an update about one incarnation of an endpoint never changes the state of another incarnation.
 */
final class EndpointTable {
    /** Loading reported by an entry expires after four heartbeats without another report from it. */
    private static final Duration LOADING_TIMEOUT = Duration.ofMillis(1300);

    private static final Duration CLEANUP_INTERVAL = Duration.ofSeconds(1);

    private final Map<EndpointId, EndpointState> endpoints = new LinkedHashMap<>();
    private final Map<EntryId, Map<EndpointIncarnation, PeerStatus.Load>> peerLoads = new HashMap<>();
    private final Map<EntryId, List<EndpointIncarnation>> loadingByEntry = new HashMap<>();
    private final LostSoftware lostSoftware = new LostSoftware();
    private final Evacuations evacuations;
    private final Predicate<EndpointIncarnation> isLeaving;
    private ControlContext context;

    /**
     * Creates an empty table.
     *
     * @param coldTraits returns the limits of the cold endpoints of a service
     * @param isLeaving whether an endpoint has announced that it is leaving, listed at present or not
     */
    EndpointTable(Function<ServiceName, ColdTraits> coldTraits, Predicate<EndpointIncarnation> isLeaving) {
        this.isLeaving = isLeaving;
        this.evacuations = new Evacuations(endpoints::values, coldTraits);
    }

    void start(ControlContext controlContext) {
        context = controlContext;
        context.after(CLEANUP_INTERVAL, this::removeExpired);
    }

    void handle(ControlEvent event) {
        evacuations.handle(event, context);
        if (event instanceof KeyValueRecordUpdated updated
                && updated.record() instanceof KeyValueRecord.EndpointListed listed) {
            register(listed.endpoint());
        } else if (event instanceof KeyValueRecordRemoved removed
                && removed.subject() instanceof KeyValueRecord.Subject.EndpointSubject subject) {
            unregister(subject.endpoint(), removed.afterOutage());
        } else if (event instanceof PeersComponent.PeerStatusReceived heartbeat) {
            applyHeartbeat(heartbeat);
        } else if (event instanceof PeerReceived received && received.message() instanceof LoadUpdate update) {
            replaceLoad(received.from(), update.load());
        } else if (event instanceof PeersComponent.PeerLost lost) {
            replaceLoads(lost.entry(), ImmutableList.of());
        } else if (event instanceof EndpointLeaving announced) {
            current(announced.endpoint()).ifPresent(EndpointState::markLeaving);
        } else if (event instanceof WorkTransferred transferred) {
            current(transferred.endpoint()).ifPresent(endpoint -> transferWork(endpoint, transferred));
        } else if (event instanceof WeightOrdersComponent.WeightsReported weights) {
            updateWeights(weights.endpoint(), weights.weights());
        }
    }

    private static void transferWork(EndpointState endpoint, WorkTransferred transferred) {
        endpoint.addWork(transferred.added());
        endpoint.removeWork(transferred.removed());
    }

    Collection<EndpointState> all() {
        return endpoints.values();
    }

    /**
     * Returns the endpoint if the given incarnation is its current one. Updates about earlier incarnations must not
     * affect it.
     */
    Optional<EndpointState> current(EndpointIncarnation incarnation) {
        return Optional.ofNullable(endpoints.get(incarnation.endpoint()))
                .filter(endpoint -> endpoint.listed().incarnation().equals(incarnation));
    }

    /** Returns the known number of requests that run on an endpoint. */
    int requestsOn(EndpointId endpoint) {
        EndpointState state = endpoints.get(endpoint);
        return state == null ? 0 : state.totalWork().requests();
    }

    /** Returns the load of this entry on each endpoint, for its heartbeat. */
    ImmutableList<PeerStatus.Load> loads() {
        ImmutableList.Builder<PeerStatus.Load> loads = ImmutableList.builder();
        for (EndpointState endpoint : endpoints.values()) {
            PeerStatus.Load load = endpoint.load(context.nowNanos());
            if (load.requests() > 0 || !load.prefill().equals(RecentPrefill.NONE)) {
                loads.add(load);
            }
        }
        return loads.build();
    }

    /** Returns whether an endpoint runs the software version, or one that has failed may come back with it. */
    boolean mayServe(ServiceName service, SoftwareVersion software) {
        boolean listed = endpoints.values().stream()
                .filter(endpoint -> !endpoint.isLeaving())
                .map(EndpointState::listed)
                .anyMatch(endpoint -> endpoint.service().equals(service)
                        && endpoint.software().equals(software));
        return listed || lostSoftware.mayReturn(service, software, context.nowNanos());
    }

    /** Returns the newest weight version of the model that any endpoint runs. */
    OptionalLong newestVersion(String model) {
        return endpoints.values().stream()
                .map(endpoint -> endpoint.versionOf(model))
                .flatMapToLong(OptionalLong::stream)
                .max();
    }

    // Registrations

    /**
     * Applies a registration. The cases:
     *
     * <ol>
     *   <li>Of an earlier incarnation than the current one: the update is late and ignored.
     *   <li>Of a later incarnation or an unknown endpoint: replaces all state of the earlier incarnation.
     *   <li>Of the current incarnation: updates its registration.
     * </ol>
     */
    private void register(ListedEndpoint listed) {
        EndpointState existing = endpoints.get(listed.id());
        if (existing != null && listed.incarnation().isBefore(existing.listed().incarnation())) {
            return;
        }
        boolean isNew = existing == null || existing.listed().incarnation().isBefore(listed.incarnation());
        boolean reportable = isNew || (!existing.isLeaving() && listed.leaving());
        if (isNew) {
            EndpointState added = new EndpointState(listed, context.nowNanos());
            evacuations.applyTo(added);
            if (isLeaving.test(listed.incarnation())) {
                added.markLeaving();
            }
            endpoints.put(listed.id(), added);
        } else {
            existing.updateRegistration(listed, context.nowNanos());
        }
        if (reportable) {
            context.perform(Decision.of(listed.leaving() ? "endpoint-leaving" : "endpoint-listed")
                    .with("endpoint", listed.incarnation())
                    .with("service", listed.service())
                    .with("address", listed.address())
                    .with("software", listed.software()));
        }
    }

    private void unregister(EndpointId id, boolean afterOutage) {
        EndpointState existing = endpoints.get(id);
        if (existing == null) {
            return;
        }
        long now = context.nowNanos();
        if (!existing.isLeaving()) {
            lostSoftware.record(existing.listed(), now);
        }
        existing.markUnlisted(afterOutage ? now + KeyValueFollowComponent.REREGISTRATION_GRACE.toNanos() : now);
        context.perform(Decision.of("endpoint-unlisted")
                .with("endpoint", existing.listed().incarnation())
                .with("after_outage", afterOutage));
    }

    private void removeExpired() {
        context.after(CLEANUP_INTERVAL, this::removeExpired);
        endpoints.values().removeIf(endpoint -> endpoint.isRemovable(context.nowNanos()));
    }

    // Updates from other entries

    private void applyHeartbeat(PeersComponent.PeerStatusReceived heartbeat) {
        replaceLoads(heartbeat.entry(), heartbeat.status().loads());
        replaceLoading(heartbeat.entry(), heartbeat.status().loading());
        for (PeerStatus.Weights reported : heartbeat.status().weights()) {
            updateWeights(reported.endpoint(), reported.runs());
        }
    }

    /**
     * Replaces the set of engines that load weights on the orders of one entry. Engines that the entry no longer
     * reports are usable again.
     *
     * <p>Guards against engines that stay unused after they have loaded. Their registrations often report the newer
     * weights first, so the end of loading can't be inferred from a version update: three of eight engines idled for
     * 0.9 s after each rollout, while the others received every prompt.
     */
    void replaceLoading(EntryId from, List<EndpointIncarnation> loading) {
        List<EndpointIncarnation> previous = loadingByEntry.put(from, loading);
        if (previous != null) {
            previous.stream().filter(id -> !loading.contains(id)).forEach(id -> setLoading(id, Long.MIN_VALUE));
        }
        long untilNanos = context.nowNanos() + LOADING_TIMEOUT.toNanos();
        loading.forEach(id -> setLoading(id, untilNanos));
    }

    private void setLoading(EndpointIncarnation incarnation, long untilNanos) {
        current(incarnation).ifPresent(endpoint -> endpoint.setLoadingUntil(untilNanos));
    }

    void updateWeights(EndpointIncarnation incarnation, ModelWeights weights) {
        current(incarnation)
                .filter(endpoint -> endpoint.versionOf(weights.model()).orElse(0) < weights.version())
                .ifPresent(endpoint -> endpoint.recordReportedVersion(weights, context.nowNanos()));
    }

    private void replaceLoads(EntryId entry, List<PeerStatus.Load> loads) {
        Map<EndpointIncarnation, PeerStatus.Load> reported = new HashMap<>();
        loads.forEach(load -> reported.put(load.endpoint(), load));
        Map<EndpointIncarnation, PeerStatus.Load> previous = peerLoads.put(entry, reported);
        if (previous != null) {
            previous.values().forEach(load -> removePeerLoad(entry, load));
        }
        reported.values().forEach(load -> addPeerLoad(entry, load));
    }

    private void replaceLoad(EntryId entry, PeerStatus.Load load) {
        PeerStatus.Load previous =
                peerLoads.computeIfAbsent(entry, name -> new HashMap<>()).put(load.endpoint(), load);
        if (previous != null) {
            removePeerLoad(entry, previous);
        }
        addPeerLoad(entry, load);
    }

    private void addPeerLoad(EntryId entry, PeerStatus.Load load) {
        replacePeerWork(load.endpoint(), Work.NONE, workOf(load));
        current(load.endpoint()).ifPresent(endpoint -> endpoint.streams().replaceReport(entry, load.prefill()));
    }

    private void removePeerLoad(EntryId entry, PeerStatus.Load load) {
        replacePeerWork(load.endpoint(), workOf(load), Work.NONE);
        current(load.endpoint()).ifPresent(endpoint -> endpoint.streams().replaceReport(entry, RecentPrefill.NONE));
    }

    private void replacePeerWork(EndpointIncarnation incarnation, Work previous, Work now) {
        current(incarnation).ifPresent(endpoint -> endpoint.replacePeerWork(previous, now));
    }

    private static Work workOf(PeerStatus.Load load) {
        return new Work(load.requests(), load.tokens(), load.unreadTokens());
    }
}
