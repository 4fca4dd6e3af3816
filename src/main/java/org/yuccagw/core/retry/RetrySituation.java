package org.yuccagw.core.retry;

import java.time.Duration;
import java.util.Optional;

/**
 * The state of a request after a failed attempt.
 *
 * @param layer layer that would make the retry
 * @param idempotent whether the request may safely run more than once
 * @param mayHaveRunBefore whether an attempt before the failed one may have run
 * @param attempts number of attempts made over all layers, including the failed one
 * @param remaining time until the deadline that covers all attempts
 * @param retryAfter delay that the peer asked for, if it named one
 * @param budget retry budget of the service at this layer
 */
public record RetrySituation(
        RetryLayer layer,
        boolean idempotent,
        boolean mayHaveRunBefore,
        int attempts,
        Duration remaining,
        Optional<Duration> retryAfter,
        RetryBudget budget) {}
