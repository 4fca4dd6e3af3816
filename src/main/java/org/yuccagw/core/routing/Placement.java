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
 * Where an attempt goes.
 *
 * @param fetch blocks to bring there first
 * @param joined an import on its way there to wait for, in place of a fetch
 * @param recomputedTokens prompt tokens that the endpoint will compute
 * @param firstTokenMillis predicted time to first token
 */
record Placement(
        EndpointStatus endpoint,
        Optional<Fetch> fetch,
        Optional<ImportsInProgress.Import> joined,
        long recomputedTokens,
        double firstTokenMillis,
        String policy,
        ImmutableList<Candidate> weighed) {

    /** Blocks of a stored prefix up to a depth of the prompt. */
    record Fetch(StoredPrefix prefix, int depth) {
        List<StoredBlock> blocks() {
            return prefix.blocksUpTo(depth);
        }
    }

    /** A placement without any fetch. */
    static Placement plain(EndpointStatus endpoint, long recomputedTokens, String policy) {
        return new Placement(
                endpoint, Optional.empty(), Optional.empty(), recomputedTokens, 0, policy, ImmutableList.of());
    }
}
