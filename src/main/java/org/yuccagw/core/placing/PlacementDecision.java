package org.yuccagw.core.placing;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.stores.CachePlan;

/** The answer to a {@link PlacementRequest}. */
public sealed interface PlacementDecision {
    /**
     * Send the request to this endpoint, and report the end of the attempt under the ticket.
     *
     * @param version the weight version that the endpoint must run, for prompts
     * @param beginWithin time within which the request must begin on that version; empty without a limit
     * @param salt identifies the cache that the prompt may share, by the workspaces that share it and the weight
     *     version
     * @param cache the parts that the endpoint fetches from stores and saves to them
     * @param urgency 0 is the most urgent
     * @param firstByteMillis predicted time to the first byte, in milliseconds
     * @param rateLimited whether the endpoint was known to have a rate limit, so that an answer without one ends the
     *     limit
     */
    record Placed(
            long ticket,
            ListedEndpoint endpoint,
            OptionalLong version,
            Optional<Duration> beginWithin,
            Optional<String> salt,
            Optional<CachePlan> cache,
            int urgency,
            long firstByteMillis,
            boolean rateLimited)
            implements PlacementDecision {}

    /** Refuse the request. The error states when to retry. */
    record Refused(YuccagwException error) implements PlacementDecision {}
}
