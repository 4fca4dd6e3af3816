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
import org.yuccagw.core.routing.RouteRequested.Question;

/**
 * What a {@link RoutingPolicy} decides upon.
 *
 * @param question what was asked
 * @param candidates endpoints that may take it
 * @param model settings of the model, empty for a plain service
 * @param requestClass the class, whose weights make the objective
 * @param path the prompt's path through the tree of known prompts
 * @param loads what each endpoint has to do
 * @param cache what is known of the caches
 * @param ownDomain the failure domain of this entry
 */
record RoutingView(
        Question question,
        CandidateSet candidates,
        Optional<ModelSettings> model,
        RequestClass requestClass,
        List<PromptNode> path,
        LoadTable loads,
        CacheState cache,
        FailureDomain ownDomain,
        RandomGenerator random,
        long nowNanos) {

    /** Whether the endpoint may take this question. */
    boolean mayTake(EndpointStatus endpoint) {
        EndpointLoad load = loads.of(endpoint);
        boolean free = question.alone() ? load.attempts() == 0 : !load.hasAlone();
        return free && !question.excluded().contains(endpoint.id());
    }

    int blockTokens() {
        return model.map(ModelSettings::blockTokens).orElse(1);
    }
}
