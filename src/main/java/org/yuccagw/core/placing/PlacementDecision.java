package org.yuccagw.core.placing;

import java.util.Optional;
import java.util.OptionalLong;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.stores.CachePlan;

/** The answer to {@link PlacementRequest}. */
public sealed interface PlacementDecision {
    /**
     * Send it there, and report the end of the attempt under the ticket.
     *
     * @param version the weight version that the endpoint must run, for prompts
     * @param salt names the cache that the prompt may share: who may share it and for which weights
     * @param cache what the endpoint fetches from stores and saves there
     * @param urgency 0 is the most urgent
     * @param firstByteMillis predicted time to the first byte, in milliseconds
     * @param rateLimited whether the endpoint was known to have a rate limit, so that an answer without it ends it
     */
    record Placed(
            long ticket,
            ListedEndpoint endpoint,
            OptionalLong version,
            Optional<String> salt,
            Optional<CachePlan> cache,
            int urgency,
            long firstByteMillis,
            boolean rateLimited)
            implements PlacementDecision {}

    /** Refuse it; the error says when to come back. */
    record Refused(YuccagwException error) implements PlacementDecision {}
}
