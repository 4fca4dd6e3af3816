package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.deployment.BackEndService;
import org.yuccagw.core.deployment.ColdTraits;
import org.yuccagw.core.deployment.Deployment;
import org.yuccagw.core.deployment.DomainRegions;
import org.yuccagw.core.deployment.PermittedRegions;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.notice.NoticesComponent;
import org.yuccagw.core.peers.PeersComponent;
import org.yuccagw.core.ratelimit.EndpointConstraints;
import org.yuccagw.core.ratelimit.RateLimitsComponent;

/** Selects the endpoints that may accept a request at present, regardless of the cost of running it there. */
final class Candidates {
    private final EndpointTable endpoints;
    private final ColdEndpointLimit coldLimit;
    private final DomainRegions regions;
    private final WeightLimits weightLimits;
    private final RateLimitsComponent rateLimits;
    private final NoticesComponent notices;
    private final RejectionLimits rejectionLimits;
    private final PlacementComponent.Fleet fleet;
    private final Predicate<PlacementRequest> isLocal;
    private Optional<Deployment> deployment = Optional.empty();
    private ControlContext context;
    private long startedNanos;

    /**
     * Creates the selection for one entry.
     *
     * @param coldLimit limits the requests to cold endpoints
     * @param weightLimits decides on which weights a request may begin
     * @param constraints the limits and back-offs that endpoints requested
     * @param rejectionLimits limits what endpoints have to reject
     * @param fleet the other entries that place requests
     * @param isLocal whether this entry forwards a request itself
     */
    Candidates(
            EndpointTable endpoints,
            ColdEndpointLimit coldLimit,
            DomainRegions regions,
            WeightLimits weightLimits,
            EndpointConstraints constraints,
            RejectionLimits rejectionLimits,
            PlacementComponent.Fleet fleet,
            Predicate<PlacementRequest> isLocal) {
        this.endpoints = endpoints;
        this.coldLimit = coldLimit;
        this.regions = regions;
        this.weightLimits = weightLimits;
        this.rateLimits = constraints.rateLimits();
        this.notices = constraints.notices();
        this.rejectionLimits = rejectionLimits;
        this.fleet = fleet;
        this.isLocal = isLocal;
    }

    void start(ControlContext controlContext) {
        context = controlContext;
        startedNanos = context.nowNanos();
    }

    void configure(Deployment applied) {
        deployment = Optional.of(applied);
    }

    /** Returns the endpoints of a service that are usable according to the state known locally. */
    Stream<EndpointState> usable(ServiceName service) {
        return endpoints.all().stream()
                .filter(endpoint -> endpoint.listed().service().equals(service))
                .filter(endpoint -> endpoint.isUsable(context.nowNanos()));
    }

    long usableCount(ServiceName service) {
        return usable(service).count();
    }

    /**
     * Returns the endpoints that may accept the request now.
     *
     * <p>An endpoint is skipped while others are available if it loads weights, requested a back-off, has just rejected
     * a request, could not be reached, or is cold or limited and has received all that it accepts. If only such
     * endpoints are left, those that rejected requests of several entries are returned; if there are none of these
     * either, those that could not be reached.
     */
    List<EndpointState> forRequest(PlacementRequest request) {
        long now = context.nowNanos();
        PermittedRegions permittedRegions = request.permittedRegions();
        List<EndpointState> ready = new ArrayList<>();
        List<EndpointState> full = new ArrayList<>();
        List<EndpointState> unreached = new ArrayList<>();
        boolean availableSoon = false;
        for (EndpointState endpoint : endpoints.all()) {
            if (!isEligible(endpoint, request, permittedRegions)) {
                continue;
            }
            if (!acceptsAnother(endpoint, request)) {
                availableSoon = true;
            } else if (endpoint.isAvoided(now)) {
                unreached.add(endpoint);
            } else if (endpoint.isLoading(now) || endpoint.hasRecentlyShed(now)) {
                availableSoon = true;
            } else if (notices.isFull(endpoint.listed().incarnation())) {
                full.add(endpoint);
            } else {
                ready.add(endpoint);
            }
        }
        List<EndpointState> best = ready.isEmpty() ? full : ready;
        return best.isEmpty() && !availableSoon ? unreached : best;
    }

    /** Records that a request is sent to the endpoint now, which counts against the constraints that it requested. */
    void recordPlaced(EndpointState endpoint) {
        EndpointIncarnation incarnation = endpoint.listed().incarnation();
        rateLimits.recordRequest(incarnation);
        notices.recordPlacement(incarnation);
        rejectionLimits.recordSent(endpoint);
    }

    boolean isRateLimited(EndpointState endpoint) {
        return rateLimits.isLimited(endpoint.listed().incarnation());
    }

    /**
     * Returns whether waiting can't help: every usable endpoint has already failed this request or lies outside its
     * allowed regions.
     */
    boolean isUnservable(PlacementRequest request) {
        PermittedRegions permittedRegions = request.permittedRegions();
        if (permittedRegions.isRestricted()
                && usable(request.service())
                        .noneMatch(each -> isIn(permittedRegions, each.listed().domain()))) {
            return true;
        }
        StreamContinuation continuation = request.continuation();
        if (request.excluded().isEmpty()
                && request.permitted().isEmpty()
                && continuation.software().isEmpty()) {
            return false;
        }
        List<ListedEndpoint> usable =
                usable(request.service()).map(EndpointState::listed).toList();
        boolean isBound = continuation.software().isPresent();
        return (isBound || !usable.isEmpty()) && usable.stream().noneMatch(request::permits);
    }

    /**
     * Returns the software version that a stream requires if no endpoint runs it and none that has failed may come back
     * with it.
     */
    Optional<SoftwareVersion> missingSoftware(PlacementRequest request) {
        return request.continuation().software().filter(software -> !endpoints.mayServe(request.service(), software));
    }

    /**
     * Returns the requests per second that this entry may still send if all endpoints eligible for the request have
     * rate limits; empty otherwise.
     */
    OptionalDouble permittedRate(PlacementRequest request) {
        List<ListedEndpoint> eligible = eligibleIfAllLimited(request);
        return eligible.isEmpty()
                ? OptionalDouble.empty()
                : OptionalDouble.of(
                        eligible.stream().mapToDouble(rateLimits::shareOf).sum());
    }

    /**
     * Returns the entries that may serve the request if all endpoints eligible for it have rate limits and this entry
     * has no share of any of them. The list is rotated by the request's ID to spread requests. It is empty if this
     * entry may serve the request itself.
     */
    List<EntryId> entriesWithShare(PlacementRequest request) {
        List<ListedEndpoint> eligible = eligibleIfAllLimited(request);
        if (eligible.stream().anyMatch(endpoint -> rateLimits.shareOf(endpoint) > 0)) {
            return List.of();
        }
        List<EntryId> owners = new ArrayList<>(eligible.stream()
                .flatMap(endpoint -> rateLimits.shareOwners(endpoint).stream())
                .distinct()
                .toList());
        Collections.rotate(owners, request.request().hashCode());
        return owners;
    }

    /**
     * Returns the owners of the room of the endpoints that are eligible for the request, if these can reject few
     * requests. The list is rotated by the request's ID to spread requests.
     */
    List<EntryId> roomOwners(PlacementRequest request) {
        if (!rejectionLimits.isLimited(request.service())) {
            return List.of();
        }
        List<EntryId> owners = new ArrayList<>(endpoints.all().stream()
                .filter(endpoint -> isEligible(endpoint, request, request.permittedRegions()))
                .flatMap(endpoint -> fleet.roomOwner(endpoint.listed()).stream())
                .toList());
        Collections.rotate(owners, request.request().hashCode());
        return owners.stream().distinct().toList();
    }

    /**
     * Returns the time until the first endpoint accepts requests again if all endpoints eligible for this request
     * reject requests; otherwise zero.
     */
    Duration remainingRejectionTime(PlacementRequest request) {
        if (!notices.isAnyBackingOff()) {
            return Duration.ZERO;
        }
        boolean local = isLocal.test(request);
        return endpoints.all().stream()
                .filter(endpoint -> isEligible(endpoint, request, request.permittedRegions()))
                .map(endpoint ->
                        notices.remainingRejectionTime(endpoint.listed().incarnation(), local))
                .min(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
    }

    private List<ListedEndpoint> eligibleIfAllLimited(PlacementRequest request) {
        if (rateLimits.isEmpty()) {
            return List.of();
        }
        List<ListedEndpoint> eligible = endpoints.all().stream()
                .filter(endpoint -> isEligible(endpoint, request, request.permittedRegions()))
                .map(EndpointState::listed)
                .toList();
        boolean allLimited = eligible.stream().allMatch(endpoint -> rateLimits.isLimited(endpoint.incarnation()));
        return allLimited ? eligible : List.of();
    }

    /** Returns the limits of the cold endpoints of a service. */
    ColdTraits coldTraits(ServiceName service) {
        return deployment
                .flatMap(current -> current.service(service))
                .map(BackEndService::cold)
                .orElse(ColdTraits.NEVER_COLD);
    }

    /**
     * Returns whether this entry may send the endpoint one more request now under all constraints that the endpoint
     * requested.
     */
    private boolean acceptsAnother(EndpointState endpoint, PlacementRequest request) {
        ListedEndpoint listed = endpoint.listed();
        boolean allowedByNotices = notices.allowsPlacement(listed.incarnation(), isLocal.test(request));
        return allowedByNotices
                && acceptsAnotherWhileCold(endpoint)
                && rateLimits.allowsRequest(listed)
                && rejectionLimits.allows(endpoint);
    }

    private boolean acceptsAnotherWhileCold(EndpointState endpoint) {
        long now = context.nowNanos();
        if (!endpoint.isCold(now)) {
            return true;
        }
        boolean fleetKnown = now - startedNanos >= PeersComponent.DISCOVERY_PERIOD.toNanos();
        int shares = fleetKnown ? fleet.coldShareCount(endpoint.listed().domain()) : 0;
        return coldLimit.allows(endpoint, coldTraits(endpoint.listed().service()), shares, now);
    }

    private boolean isEligible(EndpointState endpoint, PlacementRequest request, PermittedRegions permittedRegions) {
        return endpoint.listed().service().equals(request.service())
                && endpoint.isUsable(context.nowNanos())
                && isIn(permittedRegions, endpoint.listed().domain())
                && request.permits(endpoint.listed())
                && runsAcceptableVersion(endpoint, request);
    }

    private boolean runsAcceptableVersion(EndpointState endpoint, PlacementRequest request) {
        return weightLimits.permits(request, versionFor(request, endpoint));
    }

    /** Returns the weight version that the endpoint runs of the model that the request needs. */
    OptionalLong versionFor(PlacementRequest request, EndpointState endpoint) {
        return request.prompt()
                .map(prompt -> endpoint.versionOf(prompt.model()))
                .orElse(OptionalLong.empty());
    }

    /** Returns the time within which the request must begin on the weights; empty without a limit. */
    Optional<Duration> beginWithin(PlacementRequest request, OptionalLong version) {
        return weightLimits.beginWithin(request, version);
    }

    private boolean isIn(PermittedRegions permittedRegions, FailureDomain domain) {
        return permittedRegions.allows(regions.of(domain));
    }
}
