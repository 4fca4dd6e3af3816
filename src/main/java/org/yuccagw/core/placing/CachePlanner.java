package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.yuccagw.core.deployment.DomainRegions;
import org.yuccagw.core.deployment.PermittedRegions;
import org.yuccagw.core.follow.NamedWeightsComponent;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.stores.CachePlan;
import org.yuccagw.core.stores.RetiredPartsComponent;
import org.yuccagw.core.stores.StoresComponent;

/** Plans the transfers between an engine and cache stores for a prompt that was placed on the engine. */
final class CachePlanner {
    private final StoresComponent stores;
    private final PrefillPlanner planner;
    private final NamedWeightsComponent weights;
    private final DomainRegions regions;

    CachePlanner(StoresComponent stores, PrefillPlanner planner, NamedWeightsComponent weights, DomainRegions regions) {
        this.stores = stores;
        this.planner = planner;
        this.weights = weights;
        this.regions = regions;
    }

    /**
     * Returns the plan of a prompt. Prompts on outdated weights still fetch parts cached for those weights, but save no
     * new ones. Some time after newer weights were named, nothing is fetched either, since the parts are about to be
     * removed.
     */
    Optional<CachePlan> plan(
            PlacementRequest request, EndpointState endpoint, OptionalLong version, Optional<String> salt) {
        if (request.prompt().isEmpty() || version.isEmpty()) {
            return Optional.empty();
        }
        String model = request.prompt().get().model();
        boolean outdated = weights.isBehind(model, version.getAsLong());
        Duration outdatedFor = weights.behindFor(model, version.getAsLong());
        if (outdatedFor.compareTo(RetiredPartsComponent.OLD_VERSION_FETCH_PERIOD) >= 0) {
            return Optional.empty();
        }
        int heldPartCount = planner.heldPartCount(request, endpoint);
        PermittedRegions permittedRegions = request.permittedRegions();
        FailureDomain domain = endpoint.listed().domain();
        return stores.plan(
                request.prompt().get(),
                salt.get(),
                domain,
                heldPartCount,
                storeDomain -> !outdated && permittedRegions.allows(regions.of(storeDomain)));
    }
}
