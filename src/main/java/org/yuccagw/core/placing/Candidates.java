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
import org.yuccagw.core.deployment.AllowedRegions;
import org.yuccagw.core.deployment.BackEndService;
import org.yuccagw.core.deployment.ColdTraits;
import org.yuccagw.core.deployment.Deployment;
import org.yuccagw.core.deployment.DomainRegions;
import org.yuccagw.core.duty.WeightOrdersComponent;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.follow.NamedWeightsComponent;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.notice.NoticesComponent;
import org.yuccagw.core.peers.PeersComponent;
import org.yuccagw.core.ratelimit.EndpointConstraints;
import org.yuccagw.core.ratelimit.RateLimitsComponent;

/** Which endpoints may take a request at present, whatever it would cost there. */
final class Candidates {
    /** No request may begin on older weights this long before the time at which that is forbidden. */
    private static final Duration OLD_WEIGHTS_MARGIN = WeightOrdersComponent.LOADING_MARGIN;

    private final EndpointTable endpoints;
    private final ColdLimit cold;
    private final DomainRegions regions;
    private final NamedWeightsComponent weights;
    private final RateLimitsComponent rateLimits;
    private final NoticesComponent notices;
    private final PlacementComponent.Fleet fleet;
    private final Predicate<PlacementRequest> own;
    private Optional<Deployment> deployment = Optional.empty();
    private ControlContext context;
    private long startedNanos;

    /**
     * The candidates as one entry knows them.
     *
     * @param cold bounds what is sent to cold endpoints
     * @param constraints what endpoints ask of this entry
     * @param fleet the other entries that place requests
     * @param own which requests this entry sends itself
     */
    Candidates(
            EndpointTable endpoints,
            ColdLimit cold,
            DomainRegions regions,
            NamedWeightsComponent weights,
            EndpointConstraints constraints,
            PlacementComponent.Fleet fleet,
            Predicate<PlacementRequest> own) {
        this.endpoints = endpoints;
        this.cold = cold;
        this.regions = regions;
        this.weights = weights;
        this.rateLimits = constraints.rateLimits();
        this.notices = constraints.notices();
        this.fleet = fleet;
        this.own = own;
    }

    void start(ControlContext startContext) {
        context = startContext;
        startedNanos = context.nowNanos();
    }

    void configure(Deployment applied) {
        deployment = Optional.of(applied);
    }

    /** The endpoints of a service that may be used as far as is known. */
    Stream<EndpointState> usable(ServiceName service) {
        return endpoints.all().stream()
                .filter(endpoint -> endpoint.listed().service().equals(service))
                .filter(endpoint -> endpoint.isUsable(context.nowNanos()));
    }

    long usableCount(ServiceName service) {
        return usable(service).count();
    }

    /**
     * The endpoints that may take the request now. One that loads, is cold or names a rate limit and has got all that
     * it takes, wants nothing for a while, has just turned a request away or couldn't be reached is none while others
     * are there. If all are like that, those that turned other entries away are tried; if there are none, those
     * that couldn't be reached.
     */
    List<EndpointState> of(PlacementRequest request) {
        long now = context.nowNanos();
        AllowedRegions allowedRegions = request.allowedRegions();
        List<EndpointState> ready = new ArrayList<>();
        List<EndpointState> full = new ArrayList<>();
        List<EndpointState> unreached = new ArrayList<>();
        boolean soon = false;
        for (EndpointState endpoint : endpoints.all()) {
            if (!mayTake(endpoint, request, allowedRegions)) {
                continue;
            }
            if (!bearsAnother(endpoint, request)) {
                soon = true;
            } else if (endpoint.isAvoided(now)) {
                unreached.add(endpoint);
            } else if (endpoint.isLoading(now) || endpoint.hasJustShed(now)) {
                soon = true;
            } else if (notices.isFull(endpoint.listed().incarnation())) {
                full.add(endpoint);
            } else {
                ready.add(endpoint);
            }
        }
        List<EndpointState> best = ready.isEmpty() ? full : ready;
        return best.isEmpty() && !soon ? unreached : best;
    }

    /**
     * Whether every endpoint that is there has failed this request already or lies outside of its allowed regions, so
     * that waiting can't help.
     */
    boolean isHopeless(PlacementRequest request) {
        AllowedRegions allowedRegions = request.allowedRegions();
        if (allowedRegions.isRestricted()
                && usable(request.service())
                        .noneMatch(each -> isIn(allowedRegions, each.listed().domain()))) {
            return true;
        }
        if (request.excluded().isEmpty()) {
            return false;
        }
        List<EndpointId> usable = usable(request.service())
                .map(endpoint -> endpoint.listed().id())
                .toList();
        return !usable.isEmpty() && request.excluded().containsAll(usable);
    }

    /**
     * Requests a second that this entry may still send, if all endpoints that may take the request have rate limits;
     * empty otherwise.
     */
    OptionalDouble rateWithinLimits(PlacementRequest request) {
        List<ListedEndpoint> able = ableIfAllLimited(request);
        return able.isEmpty()
                ? OptionalDouble.empty()
                : OptionalDouble.of(able.stream().mapToDouble(rateLimits::part).sum());
    }

    /**
     * The entries that may serve the request where all endpoints for it have rate limits and this entry has no part in
     * any of them, in another order for each request; empty if this one may serve it.
     */
    List<EntryId> othersWithinLimits(PlacementRequest request) {
        List<ListedEndpoint> able = ableIfAllLimited(request);
        if (able.stream().anyMatch(endpoint -> rateLimits.part(endpoint) > 0)) {
            return List.of();
        }
        List<EntryId> owners = new ArrayList<>(able.stream()
                .flatMap(endpoint -> rateLimits.owners(endpoint).stream())
                .distinct()
                .toList());
        Collections.rotate(owners, request.request().hashCode());
        return owners;
    }

    /** Until the first endpoint takes requests again, if all that may take this one turn requests away; else zero. */
    Duration turnedAwayFor(PlacementRequest request) {
        if (!notices.isAnyBackingOff()) {
            return Duration.ZERO;
        }
        boolean isOwn = own.test(request);
        return endpoints.all().stream()
                .filter(endpoint -> mayTake(endpoint, request, request.allowedRegions()))
                .map(endpoint -> notices.turnsAwayFor(endpoint.listed().incarnation(), isOwn))
                .min(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
    }

    private List<ListedEndpoint> ableIfAllLimited(PlacementRequest request) {
        if (rateLimits.isEmpty()) {
            return List.of();
        }
        List<ListedEndpoint> able = endpoints.all().stream()
                .filter(endpoint -> mayTake(endpoint, request, request.allowedRegions()))
                .map(EndpointState::listed)
                .toList();
        boolean allLimited = able.stream().allMatch(endpoint -> rateLimits.isLimited(endpoint.incarnation()));
        return allLimited ? able : List.of();
    }

    /** What cold endpoints of a service bear. */
    ColdTraits coldTraits(ServiceName service) {
        return deployment
                .flatMap(known -> known.service(service))
                .map(BackEndService::cold)
                .orElse(ColdTraits.NEVER_COLD);
    }

    /** Whether this entry may send one more request there now, by all that the endpoint asks for. */
    private boolean bearsAnother(EndpointState endpoint, PlacementRequest request) {
        ListedEndpoint listed = endpoint.listed();
        boolean wanted = notices.mayPlace(listed.incarnation(), own.test(request));
        return wanted && bearsAnotherWhileCold(endpoint) && rateLimits.allows(listed);
    }

    private boolean bearsAnotherWhileCold(EndpointState endpoint) {
        long now = context.nowNanos();
        if (!endpoint.isCold(now)) {
            return true;
        }
        boolean knowsFleet = now - startedNanos >= PeersComponent.DISCOVERY_PERIOD.toNanos();
        int shares = knowsFleet ? fleet.coldShares(endpoint.listed().domain()) : 0;
        return cold.allows(endpoint, coldTraits(endpoint.listed().service()), shares, now);
    }

    private boolean mayTake(EndpointState endpoint, PlacementRequest request, AllowedRegions allowedRegions) {
        return endpoint.listed().service().equals(request.service())
                && endpoint.isUsable(context.nowNanos())
                && isIn(allowedRegions, endpoint.listed().domain())
                && !request.excluded().contains(endpoint.listed().id())
                && versionFits(endpoint, request);
    }

    private boolean versionFits(EndpointState endpoint, PlacementRequest request) {
        if (request.prompt().isEmpty()) {
            return true;
        }
        String model = request.prompt().get().model();
        OptionalLong runs = endpoint.versionOf(model);
        if (runs.isEmpty()) {
            return false;
        }
        if (request.pinned().isPresent()) {
            return runs.equals(request.pinned());
        }
        Duration behind = weights.behindFor(model, runs.getAsLong(), context.nowNanos());
        return behind.compareTo(weights.oldWeightsAllowed().minus(OLD_WEIGHTS_MARGIN)) < 0;
    }

    private boolean isIn(AllowedRegions allowedRegions, FailureDomain domain) {
        return allowedRegions.allows(regions.of(domain));
    }
}
