package org.yuccagw.core.retry;

import java.time.Duration;
import org.yuccagw.core.error.ErrorKind;

/** The action to take after a failed attempt. */
public interface RetryDecision {
    /**
     * The request is retried.
     *
     * @param delay delay before the next attempt
     * @param spendsBudget whether the retry must take a token from the retry budget. If a concurrent request changed
     *     the budget first, the decision must be made again with the new budget.
     */
    record Retry(Duration delay, boolean spendsBudget) implements RetryDecision {}

    /**
     * The request ends immediately with an error of this kind. The kind says "not run" only if no attempt may have run.
     *
     * @param retryAfter delay that the peer asked for, if it named one; passed on to the caller
     */
    record GiveUp(ErrorKind error, java.util.Optional<Duration> retryAfter) implements RetryDecision {}
}
