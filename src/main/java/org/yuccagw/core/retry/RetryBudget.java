package org.yuccagw.core.retry;

/**
 * A token bucket that bounds the retries of one service at one layer. Instances are immutable; each change returns a
 * new budget.
 *
 * <p>A retry spends one token and a success earns a fraction of a token, so in the long run the number of retries stays
 * below that fraction of the successes. If an endpoint pool rejects every request, the bucket empties once and each
 * request then makes only one attempt, so retries cannot sustain a retry storm.
 *
 * <p>Example: with a capacity of 20 and an earn of 0.1, twenty retries are allowed at once, and after that one retry
 * for every ten successes.
 *
 * @param tokens number of retries that are allowed now
 * @param capacity maximum number of tokens
 * @param earn tokens earned by each success
 */
public record RetryBudget(double tokens, double capacity, double earn) {
    /** Returns a budget whose bucket is full. */
    public static RetryBudget full(double capacity, double earn) {
        return new RetryBudget(capacity, capacity, earn);
    }

    /** Returns a budget that never runs out, for layers whose retries are bounded by other means. */
    public static RetryBudget unlimited() {
        return new RetryBudget(Double.MAX_VALUE, Double.MAX_VALUE, 0);
    }

    public boolean allowsRetry() {
        return tokens >= 1;
    }

    /**
     * Returns the budget after one more retry.
     *
     * @throws IllegalStateException if {@link #allowsRetry} is false
     */
    public RetryBudget spend() {
        if (!allowsRetry()) {
            throw new IllegalStateException("retry budget is exhausted");
        }
        return new RetryBudget(tokens - 1, capacity, earn);
    }

    /** Returns the budget after one more success. */
    public RetryBudget succeed() {
        return new RetryBudget(Math.min(capacity, tokens + earn), capacity, earn);
    }
}
