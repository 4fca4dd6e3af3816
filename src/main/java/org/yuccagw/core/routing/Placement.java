package org.yuccagw.core.routing;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.yuccagw.core.cache.ImportsInProgress;
import org.yuccagw.core.cache.StoredBlock;
import org.yuccagw.core.cache.StoredPrefix;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.routing.RouteExplanation.Candidate;

/**
 * The routing decision for one attempt.
 *
 * @param fetch cache blocks to copy to the endpoint before the request is sent
 * @param joinedImport a running import to the endpoint to wait for, instead of a fetch
 * @param recomputedTokens prompt tokens that the endpoint has to prefill
 * @param firstTokenMillis predicted time to the first token, 0 if the policy predicts none
 * @param policy name of the policy that decided
 * @param candidates scored candidates, best first
 */
record Placement(
        EndpointStatus endpoint,
        Optional<Fetch> fetch,
        Optional<ImportsInProgress.Import> joinedImport,
        long recomputedTokens,
        double firstTokenMillis,
        String policy,
        ImmutableList<Candidate> candidates) {

    /** The blocks of a stored prefix up to a depth in the prompt. */
    record Fetch(StoredPrefix prefix, int depth) {
        List<StoredBlock> blocks() {
            return prefix.blocksUpTo(depth);
        }
    }

    /** Returns a placement without a fetch and without a prediction. */
    static Placement withoutFetch(EndpointStatus endpoint, long recomputedTokens, String policy) {
        return new Placement(
                endpoint, Optional.empty(), Optional.empty(), recomputedTokens, 0, policy, ImmutableList.of());
    }
}
