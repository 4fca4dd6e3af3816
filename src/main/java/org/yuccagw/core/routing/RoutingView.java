package org.yuccagw.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.yuccagw.core.cache.CacheState;
import org.yuccagw.core.cache.PromptNode;
import org.yuccagw.core.catalogue.RequestClass;
import org.yuccagw.core.catalogue.Service.ModelSettings;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.routing.RouteRequested.Query;

/**
 * The input of a {@link RoutingPolicy}.
 *
 * @param query attempt to place
 * @param candidates endpoints of the pool with the required weight version that accept new requests
 * @param model model settings of the service, empty for a plain service
 * @param requestClass request class, whose weights define the objective function
 * @param path path of the prompt through the tree of known prompts
 * @param loads estimated load of each endpoint
 * @param cache local view of the caches
 * @param ownDomain failure domain of this entry
 * @param nowNanos monotonic time
 */
record RoutingView(
        Query query,
        CandidateSet candidates,
        Optional<ModelSettings> model,
        RequestClass requestClass,
        List<PromptNode> path,
        LoadTable loads,
        CacheState cache,
        FailureDomain ownDomain,
        RandomGenerator random,
        long nowNanos) {

    /** Returns whether the attempt may be placed on the endpoint. */
    boolean isEligible(EndpointStatus endpoint) {
        EndpointLoad load = loads.of(endpoint);
        boolean exclusivityAllows = query.exclusive() ? load.attemptCount() == 0 : !load.hasExclusiveAttempt();
        return exclusivityAllows && !query.excluded().contains(endpoint.id());
    }

    int blockTokens() {
        return model.map(ModelSettings::blockTokens).orElse(1);
    }
}
