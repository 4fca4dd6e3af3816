package org.yuccagw.core.ratelimit;

import java.time.Duration;

/**
 * A token bucket that begins empty. It holds what comes in within {@link #BURST}, one token at least, so that in any
 * time an entry sends its rate times that time and no more than that besides.
 */
final class RateLimiter {
    /** Requests come in no order; without this an entry would miss its part whenever two come close together. */
    private static final Duration BURST = Duration.ofMillis(500);

    private double tokens;
    private long filledNanos;

    private RateLimiter(long nowNanos) {
        filledNanos = nowNanos;
    }

    /** An empty one. */
    static RateLimiter from(long nowNanos) {
        return new RateLimiter(nowNanos);
    }

    /** Whether a request may be sent now at so many a second. */
    boolean allows(double perSecond, long nowNanos) {
        fill(perSecond, nowNanos);
        return tokens >= 1;
    }

    /** Takes a token; for a call that can't wait also one that isn't there yet. */
    void take() {
        tokens -= 1;
    }

    private void fill(double perSecond, long nowNanos) {
        double most = Math.max(1, perSecond * BURST.toMillis() / 1_000);
        double come = perSecond * (nowNanos - filledNanos) / 1e9;
        tokens = Math.min(most, tokens + come);
        filledNanos = nowNanos;
    }
}
