package org.yuccagw.core.routing;

import com.google.common.collect.ImmutableList;
import org.yuccagw.core.id.EndpointId;

/**
 * Explains a routing decision.
 *
 * @param policy name of the policy that decided
 * @param candidates a bounded number of scored candidates, best first
 */
public record RouteExplanation(String policy, ImmutableList<Candidate> candidates) {
    /**
     * A scored endpoint.
     *
     * @param queueMillis predicted wait in ms before the prefill starts
     * @param prefillMillis predicted time in ms to prefill the tokens that are not cached
     * @param fetchMillis predicted time in ms to fetch blocks from a store
     * @param recomputedTokens prompt tokens that the endpoint would recompute
     * @param score value of the objective function; lower is better
     */
    public record Candidate(
            EndpointId endpoint,
            double queueMillis,
            double prefillMillis,
            double fetchMillis,
            long recomputedTokens,
            double score) {}
}
