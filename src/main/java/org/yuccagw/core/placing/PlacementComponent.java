package org.yuccagw.core.placing;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.yuccagw.core.control.ControlComponent;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.PeerReceived;
import org.yuccagw.core.deployment.ColdTraits;
import org.yuccagw.core.deployment.DomainRegions;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.follow.ConfigurationComponent;
import org.yuccagw.core.follow.NamedWeightsComponent;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.notice.NoticeReceived;
import org.yuccagw.core.notice.NoticesComponent;
import org.yuccagw.core.peers.PeerStatus;
import org.yuccagw.core.peers.PeersComponent;
import org.yuccagw.core.placing.RequestQueue.QueuedRequest;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.core.ratelimit.EndpointConstraints;
import org.yuccagw.core.stores.EngineCachesComponent;
import org.yuccagw.core.stores.StoresComponent;
import org.yuccagw.core.suspect.SuspectPartsComponent;

/**
 * Places requests on endpoints, queues them while no endpoint has free capacity, and refuses those that can't be
 * served.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A retry is placed only if this entry's share of the retry budget permits it.
 *   <li>No request is placed on an endpoint that announced that it is leaving.
 * </ul>
 */
public final class PlacementComponent implements ControlComponent {
    private final Candidates candidates;
    private final RejectionLimits rejectionLimits;
    private final NoticesComponent notices;
    private final EndpointTable endpoints;
    private final StreamPacing pacing = StreamPacing.create();
    private final SuspectRequests suspects = new SuspectRequests();
    private final CrashDetector crashes;
    private final RequestQueue queue = new RequestQueue();
    private final RetryBudget retryBudget;
    private final OverloadForecast forecast;
    private final EndpointChoice choice;
    private final AttemptOutcomes outcomes;
    private final RunningAttempts attempts;
    private final Refusals refusals;
    private final PlacementStep step;
    private final WaitingRequests waiting;
    private ControlContext context;

    private PlacementComponent(
            PlacementBounds bounds,
            DomainRegions regions,
            NamedWeightsComponent weights,
            CacheContents caches,
            EndpointConstraints constraints,
            SuspectPartsComponent suspectParts,
            Fleet fleet,
            DecisionHandler decisionHandler) {
        WeightLimits weightLimits = WeightLimits.of(weights);
        PrefillPlanner planner = new PrefillPlanner(caches.stores(), caches.engines());
        CachePlanner cachePlanner = new CachePlanner(caches.stores(), planner, weights, regions);
        notices = constraints.notices();
        endpoints = new EndpointTable(this::coldTraits, notices::isLeaving);
        rejectionLimits = new RejectionLimits(fleet);
        candidates = new Candidates(
                endpoints,
                new ColdEndpointLimit(bounds.cold()),
                regions,
                weightLimits,
                constraints,
                rejectionLimits,
                fleet,
                decisionHandler::isLocal);
        retryBudget = RetryBudget.of(bounds.retries(), fleet::retryShare);
        forecast = OverloadForecast.create(queue, candidates, pacing, fleet);
        choice = EndpointChoice.of(endpoints, weights, planner, pacing);
        crashes = CrashDetector.of(suspectParts);
        outcomes = AttemptOutcomes.of(endpoints, suspects, crashes, weights, notices, rejectionLimits, fleet);
        attempts = RunningAttempts.of(pacing, outcomes, fleet);
        refusals = Refusals.of(candidates, queue, forecast, SuspectPartCheck.of(suspectParts), decisionHandler);
        step = PlacementStep.of(
                candidates, choice, attempts, cachePlanner, queue, retryBudget, refusals, decisionHandler);
        waiting = WaitingRequests.of(queue, candidates, forecast, choice, step, refusals, decisionHandler);
    }

    /**
     * Creates the placement component of one entry.
     *
     * @param bounds limits on what all entries together send
     * @param regions used to look up the allowed regions of routes and workspaces
     * @param weights the named weight versions
     * @param caches the parts that stores and engines hold
     * @param constraints the limits and back-offs that endpoints requested
     * @param suspectParts knows the parts of prompts that make endpoints crash
     * @param fleet the other entries that place requests
     * @param decisionHandler receives the decisions
     */
    public static PlacementComponent of(
            PlacementBounds bounds,
            DomainRegions regions,
            NamedWeightsComponent weights,
            CacheContents caches,
            EndpointConstraints constraints,
            SuspectPartsComponent suspectParts,
            Fleet fleet,
            DecisionHandler decisionHandler) {
        return new PlacementComponent(
                bounds, regions, weights, caches, constraints, suspectParts, fleet, decisionHandler);
    }

    /** The parts of prompts that cache stores and the engines' own caches hold. */
    public record CacheContents(StoresComponent stores, EngineCachesComponent engines) {}

    /** The entries that place requests. */
    public interface Fleet {
        /** Returns the number of entries that place requests at present, including this one. */
        int placingEntryCount();

        /** Returns whether an entry is one of these. */
        boolean isPlacingEntry(EntryId entry);

        /**
         * Returns this entry's share of the slack of the retry budget, between 0 and 1.
         *
         * @param window in which the budget is counted
         */
        double retryShare(Duration window);

        /**
         * Returns the number of equal shares into which the limit on requests to one cold endpoint of a failure domain
         * is divided. This entry has one of them, or none if the result is 0.
         */
        int coldShareCount(FailureDomain domain);

        /**
         * Returns the entry that places all requests on an endpoint that can reject few requests; empty if this entry
         * can't tell.
         */
        Optional<EntryId> roomOwner(ListedEndpoint endpoint);

        /** Sends a message to all other entries that place requests. */
        void sendToAllPlacers(PeerMessage message);

        /** Sends a message to the entries for which this one places requests as a lead. */
        void sendToFollowers(PeerMessage message);

        /** Sends a message to the other entries that place requests on endpoints of a failure domain. */
        void sendToPlacersFor(FailureDomain domain, PeerMessage message);
    }

    /** Receives placement decisions. */
    public interface DecisionHandler {
        void onDecision(PlacementRequest request, PlacementDecision decision);

        /** Returns whether the request was sent by a caller of this entry. */
        boolean isLocal(PlacementRequest request);

        /** Called when no endpoint has free capacity and the decision follows later. */
        void onQueued(PlacementRequest request);
    }

    @Override
    public void start(ControlContext controlContext) {
        context = controlContext;
        endpoints.start(controlContext);
        rejectionLimits.start(controlContext);
        candidates.start(controlContext);
        choice.start(controlContext);
        crashes.start(controlContext);
        outcomes.start(controlContext);
        attempts.start(controlContext);
        refusals.start(controlContext);
        step.start(controlContext);
        waiting.start(controlContext);
    }

    @Override
    public void handle(ControlEvent event, ControlContext ignored) {
        crashes.handle(event);
        endpoints.handle(event);
        if (event instanceof LocalPlacementRequested requested) {
            onRequested(requested.request());
        } else if (event instanceof AttemptBegun begun) {
            offerWaitingIf(attempts.begin(begun));
        } else if (event instanceof AttemptEnded ended) {
            offerWaitingIf(attempts.end(ended));
        } else if (event instanceof ConfigurationComponent.Applied applied) {
            choice.configure(applied.deployment());
            candidates.configure(applied.deployment());
        } else if (event instanceof PeerReceived received && received.message() instanceof BreakReported reported) {
            suspects.add(reported.fingerprint(), reported.endpoint(), context.nowNanos());
        } else if (event instanceof PeerReceived received
                && received.message() instanceof RejectionLimitReported report) {
            endpoints.current(report.endpoint()).ifPresent(endpoint -> rejectionLimits.recordReport(endpoint, report));
        } else if (event instanceof NoticeReceived received) {
            onNotice(received);
        } else if (event instanceof PeersComponent.PeerStatusReceived heartbeat) {
            forecast.update(heartbeat.entry(), heartbeat.status().queued(), context.nowNanos());
        } else if (event instanceof PeersComponent.PeerLost lost) {
            forecast.remove(lost.entry());
        }
    }

    private void onNotice(NoticeReceived received) {
        received.notice()
                .maxRejections()
                .ifPresent(maxRejections -> endpoints
                        .current(received.endpoint())
                        .ifPresent(endpoint -> rejectionLimits.recordNotice(endpoint, maxRejections)));
    }

    @Override
    public void contribute(ControlSnapshot.Builder snapshot) {
        snapshot.put(
                PlacementSnapshot.class,
                new PlacementSnapshot(queue.size(), forecast.reservedReturns(), pacing.runningStreams()));
    }

    // State for other components

    /** Returns the load of this entry on each endpoint, for its heartbeat. */
    public ImmutableList<PeerStatus.Load> loads() {
        return endpoints.loads();
    }

    /** Returns the prompts that wait at this entry and can still start in time, for its heartbeat. */
    public ImmutableList<PeerStatus.Queued> queued() {
        return queue.isEmpty() ? ImmutableList.of() : queue.report(context.nowNanos());
    }

    /** Returns the known number of requests that run on an endpoint. */
    public int requestsOn(EndpointId endpoint) {
        return endpoints.requestsOn(endpoint);
    }

    /** Returns the work that a ticket counts at present; {@link Work#NONE} if it has ended. */
    public Work workOf(long ticket) {
        return attempts.workOf(ticket);
    }

    /** Returns the endpoint if this entry may send requests there according to its local state. */
    public Optional<ListedEndpoint> usableEndpoint(EndpointIncarnation incarnation) {
        return endpoints
                .current(incarnation)
                .filter(endpoint -> endpoint.isUsable(context.nowNanos()))
                .map(EndpointState::listed)
                .filter(endpoint -> !notices.mayBeLeaving(endpoint.incarnation()))
                .filter(endpoint -> !notices.isBackingOff(endpoint.incarnation()));
    }

    /** Returns whether all endpoints for the request reject requests, so that querying another entry is pointless. */
    public boolean isRejectedByAllEndpoints(PlacementRequest request) {
        return !candidates.remainingRejectionTime(request).isZero();
    }

    /** Returns the endpoints to which this entry sends nothing, whichever entry decides. */
    public List<EndpointId> excludedEndpoints() {
        return endpoints.all().stream()
                .filter(this::isExcluded)
                .map(EndpointState::listed)
                .map(ListedEndpoint::id)
                .toList();
    }

    private boolean isExcluded(EndpointState endpoint) {
        EndpointIncarnation incarnation = endpoint.listed().incarnation();
        return endpoint.isLeaving() || notices.mayBeLeaving(incarnation) || notices.isBackingOff(incarnation);
    }

    /** Returns the entries that may serve the request if this one may send nothing; empty if this one may. */
    public List<EntryId> entriesWithRateLimitShare(PlacementRequest request) {
        return candidates.entriesWithShare(request);
    }

    /**
     * Returns the entries that place the request because its endpoints can reject few requests, in the order in which
     * they are to be asked; empty if any entry may place it.
     */
    public List<EntryId> roomOwners(PlacementRequest request) {
        return candidates.roomOwners(request);
    }

    /** Replaces the set of engines that load weights on the orders of this entry. */
    public void updateLocallyLoading(List<EndpointIncarnation> loading) {
        endpoints.replaceLoading(context.self().entry(), loading);
    }

    // Placement

    private void onRequested(PlacementRequest request) {
        long now = context.nowNanos();
        retryBudget.countArrival(request, now);
        int failures = suspects.count(request.fingerprint(), now);
        if (refusals.refuseIfPartIsSuspect(request)) {
            return;
        }
        if (failures >= SuspectRequests.MAX_FAILURES) {
            refusals.refuseSuspect(request, failures);
        } else if (!retryBudget.permits(request, now)) {
            refusals.refuseRetry(request);
        } else {
            QueuedRequest arrived = RequestQueue.of(request, now);
            if (forecast.isReturning(request, now)) {
                arrived.markReturned();
            }
            waiting.placeOrWait(arrived);
        }
    }

    private void offerWaitingIf(boolean loadChanged) {
        if (loadChanged) {
            waiting.offerAfterChange();
        }
    }

    private ColdTraits coldTraits(ServiceName service) {
        return candidates.coldTraits(service);
    }
}
