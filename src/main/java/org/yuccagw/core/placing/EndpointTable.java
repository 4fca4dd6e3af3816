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
import org.yuccagw.core.notice.EndpointLeaves;
import org.yuccagw.core.peers.PeerStatus;
import org.yuccagw.core.peers.PeersComponent;

/**
 * What is known of all endpoints: registrations, what other entries have running there, which load, what they run.
 *
 * <p>Invariant: news of one start of an endpoint never changes what is known of another one.
 */
final class EndpointTable {
    /** An entry that named an engine as loading and then fell silent isn't believed for longer: four heartbeats. */
    private static final Duration LOADING_HEARD = Duration.ofMillis(1300);

    private static final Duration FORGET_INTERVAL = Duration.ofSeconds(1);

    private final Map<EndpointId, EndpointState> endpoints = new LinkedHashMap<>();
    private final Map<EntryId, Map<EndpointIncarnation, Work>> peerLoads = new HashMap<>();
    private final Map<EntryId, List<EndpointIncarnation>> loadingBy = new HashMap<>();
    private final Evacuations evacuations;
    private final Predicate<EndpointIncarnation> leaving;
    private ControlContext context;

    /**
     * Knows no endpoint yet.
     *
     * @param cold what cold endpoints of a service bear
     * @param leaving which endpoints said that they leave, listed at present or not
     */
    EndpointTable(Function<ServiceName, ColdTraits> cold, Predicate<EndpointIncarnation> leaving) {
        this.leaving = leaving;
        this.evacuations = new Evacuations(endpoints::values, cold);
    }

    void start(ControlContext startContext) {
        context = startContext;
        context.after(FORGET_INTERVAL, this::forget);
    }

    void handle(ControlEvent event) {
        evacuations.handle(event, context);
        if (event instanceof KeyValueRecordUpdated updated
                && updated.record() instanceof KeyValueRecord.EndpointListed listed) {
            list(listed.endpoint());
        } else if (event instanceof KeyValueRecordRemoved removed
                && removed.subject() instanceof KeyValueRecord.Subject.EndpointSubject subject) {
            unlist(subject.endpoint(), removed.afterOutage());
        } else if (event instanceof PeersComponent.PeerStatusReceived heard) {
            hear(heard);
        } else if (event instanceof PeerReceived received && received.message() instanceof LoadUpdate news) {
            replaceLoad(received.from(), news.load());
        } else if (event instanceof PeersComponent.PeerLost lost) {
            replaceLoads(lost.entry(), ImmutableList.of());
        } else if (event instanceof EndpointLeaves leaves) {
            present(leaves.endpoint()).ifPresent(EndpointState::leave);
        } else if (event instanceof WorkTransferred transferred) {
            present(transferred.endpoint()).ifPresent(endpoint -> move(endpoint, transferred));
        } else if (event instanceof WeightOrdersComponent.WeightsReported runs) {
            hearWeights(runs.endpoint(), runs.weights());
        }
    }

    private static void move(EndpointState endpoint, WorkTransferred transferred) {
        endpoint.add(transferred.added());
        endpoint.remove(transferred.removed());
    }

    Collection<EndpointState> all() {
        return endpoints.values();
    }

    /** The endpoint if this is its present start: news of an earlier one says nothing of it. */
    Optional<EndpointState> present(EndpointIncarnation incarnation) {
        return Optional.ofNullable(endpoints.get(incarnation.endpoint()))
                .filter(endpoint -> endpoint.listed().incarnation().equals(incarnation));
    }

    /** How many requests run on an endpoint, as far as known. */
    int requestsOn(EndpointId endpoint) {
        EndpointState state = endpoints.get(endpoint);
        return state == null ? 0 : state.work().requests();
    }

    /** What this entry has running, for its heartbeat. */
    ImmutableList<PeerStatus.Load> loads() {
        ImmutableList.Builder<PeerStatus.Load> loads = ImmutableList.builder();
        for (EndpointState endpoint : endpoints.values()) {
            if (endpoint.own().requests() > 0) {
                loads.add(endpoint.load());
            }
        }
        return loads.build();
    }

    /** The newest weights of the model that any endpoint runs. */
    OptionalLong newestRun(String model) {
        return endpoints.values().stream()
                .map(endpoint -> endpoint.versionOf(model))
                .flatMapToLong(OptionalLong::stream)
                .max();
    }

    // ---- Registrations.

    /**
     * Takes a registration. The cases:
     *
     * <ol>
     *   <li>of an earlier start than the known one: late news, passed over
     *   <li>of a later start, or of an endpoint that isn't known: all that was believed of an earlier one ends
     *   <li>of the same start: what it says now
     * </ol>
     */
    private void list(ListedEndpoint listed) {
        EndpointState known = endpoints.get(listed.id());
        if (known != null && listed.incarnation().isBefore(known.listed().incarnation())) {
            return;
        }
        boolean first = known == null || known.listed().incarnation().isBefore(listed.incarnation());
        boolean news = first || (!known.leaving() && listed.leaving());
        if (first) {
            EndpointState state = new EndpointState(listed, context.nowNanos());
            evacuations.adopt(state);
            if (leaving.test(listed.incarnation())) {
                state.leave();
            }
            endpoints.put(listed.id(), state);
        } else {
            known.relist(listed, context.nowNanos());
        }
        if (news) {
            context.perform(Decision.of(listed.leaving() ? "endpoint-leaving" : "endpoint-listed")
                    .with("endpoint", listed.incarnation())
                    .with("service", listed.service())
                    .with("address", listed.address()));
        }
    }

    private void unlist(EndpointId id, boolean afterOutage) {
        EndpointState known = endpoints.get(id);
        if (known == null) {
            return;
        }
        long now = context.nowNanos();
        known.unlist(afterOutage ? now + KeyValueFollowComponent.REREGISTRATION_GRACE.toNanos() : now);
        context.perform(Decision.of("endpoint-unlisted")
                .with("endpoint", known.listed().incarnation())
                .with("after_outage", afterOutage));
    }

    private void forget() {
        context.after(FORGET_INTERVAL, this::forget);
        endpoints.values().removeIf(endpoint -> endpoint.isForgettable(context.nowNanos()));
    }

    // ---- Other entries.

    private void hear(PeersComponent.PeerStatusReceived heard) {
        replaceLoads(heard.entry(), heard.status().loads());
        replaceLoading(heard.entry(), heard.status().loading());
        for (PeerStatus.Weights heardWeights : heard.status().weights()) {
            hearWeights(heardWeights.endpoint(), heardWeights.runs());
        }
    }

    /**
     * Takes over which engines load on orders of one entry; those that it doesn't name any more are of use again.
     *
     * <p>Guards against engines that stay out of use after they have loaded. Their registrations often tell of the
     * newer weights first, so the end of loading can't be taken from news of the weights: on a played day three of
     * eight engines idled for 0.9 s after each roll, while the others got every prompt.
     */
    void replaceLoading(EntryId from, List<EndpointIncarnation> loading) {
        List<EndpointIncarnation> before = loadingBy.put(from, loading);
        if (before != null) {
            before.stream().filter(id -> !loading.contains(id)).forEach(id -> setLoading(id, Long.MIN_VALUE));
        }
        long until = context.nowNanos() + LOADING_HEARD.toNanos();
        loading.forEach(id -> setLoading(id, until));
    }

    private void setLoading(EndpointIncarnation incarnation, long untilNanos) {
        present(incarnation).ifPresent(endpoint -> endpoint.loadingUntil(untilNanos));
    }

    void hearWeights(EndpointIncarnation incarnation, ModelWeights runs) {
        present(incarnation)
                .filter(endpoint -> endpoint.versionOf(runs.model()).orElse(0) < runs.version())
                .ifPresent(endpoint -> endpoint.hear(runs, context.nowNanos()));
    }

    private void replaceLoads(EntryId entry, List<PeerStatus.Load> loads) {
        Map<EndpointIncarnation, Work> told = new HashMap<>();
        loads.forEach(load -> told.put(load.endpoint(), workOf(load)));
        Map<EndpointIncarnation, Work> before = peerLoads.put(entry, told);
        if (before != null) {
            before.forEach((endpoint, work) -> change(endpoint, work, Work.NONE));
        }
        told.forEach((endpoint, work) -> change(endpoint, Work.NONE, work));
    }

    private void replaceLoad(EntryId entry, PeerStatus.Load load) {
        Work now = workOf(load);
        Work before = peerLoads.computeIfAbsent(entry, name -> new HashMap<>()).put(load.endpoint(), now);
        change(load.endpoint(), before == null ? Work.NONE : before, now);
    }

    private void change(EndpointIncarnation incarnation, Work before, Work now) {
        present(incarnation).ifPresent(endpoint -> endpoint.replacePeerWork(before, now));
    }

    private static Work workOf(PeerStatus.Load load) {
        return new Work(load.requests(), load.tokens(), load.unreadTokens());
    }
}
