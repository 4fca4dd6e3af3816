package org.yuccagw.core.ratelimit;

import java.time.Duration;

/**
 * A token bucket that starts empty. It holds the tokens of {@link #BURST}, at least one, so that in any period an entry
 * sends at most its rate times the period, plus that number of requests.
 */
final class RateLimiter {
    /**
     * Requests arrive at random times. Without a burst an entry couldn't use its whole share if two arrived close
     * together.
     */
    private static final Duration BURST = Duration.ofMillis(500);

    private double tokens;
    private long refilledNanos;

    private RateLimiter(long nowNanos) {
        refilledNanos = nowNanos;
    }

    /** Returns an empty bucket. */
    static RateLimiter startingAt(long nowNanos) {
        return new RateLimiter(nowNanos);
    }

    /** Returns whether a request may be sent now at the given rate. */
    boolean allows(double perSecond, long nowNanos) {
        refill(perSecond, nowNanos);
        return tokens >= 1;
    }

    /** Consumes a token. A call that can't wait may consume a token that isn't available yet. */
    void consume() {
        tokens -= 1;
    }

    private void refill(double perSecond, long nowNanos) {
        double capacity = Math.max(1, perSecond * BURST.toMillis() / 1_000);
        double added = perSecond * (nowNanos - refilledNanos) / 1e9;
        tokens = Math.min(capacity, tokens + added);
        refilledNanos = nowNanos;
    }
}
