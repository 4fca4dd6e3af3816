package org.yuccagw.core.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter. The delay before retry n is uniform between 0 and {@code min(maximum, initial *
 * 2^(n-1))}, so that requests that failed at the same time are not retried at the same time.
 *
 * @param initial upper bound of the delay before the first retry
 * @param maximum upper bound of every delay
 */
public record Backoff(Duration initial, Duration maximum) {
    private static final int MAX_DOUBLINGS = 30;

    /** Returns a backoff that starts at 50 ms and is limited to 2 s. */
    public static Backoff defaults() {
        return new Backoff(Duration.ofMillis(50), Duration.ofSeconds(2));
    }

    /**
     * Returns a random delay before a retry.
     *
     * @param retry number of the retry, from 1
     */
    public Duration delay(int retry, RandomGenerator random) {
        int doublings = Math.min(retry - 1, MAX_DOUBLINGS);
        double ceiling = Math.min((double) maximum.toNanos(), (double) initial.toNanos() * Math.pow(2, doublings));
        return Duration.ofNanos((long) (random.nextDouble() * ceiling));
    }
}
