package org.yuccagw.core.admission;

/**
 * A token bucket that limits a rate. A request is allowed while the level is not negative, and then consumes its cost,
 * which may make the level negative.
 *
 * <p>Since the level may become negative, a request is allowed even if its cost exceeds the tokens of one second. In
 * any period, the consumed cost is at most the rate times the length of the period, plus the saved tokens of one
 * second, plus the cost of one request.
 *
 * <p>Example: with a rate of 100 tokens/s and a level of 0, a request that costs 250 is allowed, and the next request
 * is allowed 2.5 s later.
 */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double level;
    private long refilledNanos;
    private double ratePerSecond;

    TokenBucket(long nowNanos) {
        this.refilledNanos = nowNanos;
    }

    /** Sets the rate in tokens/s, effective immediately. A rate of 0 stops the refill. */
    void setRate(double newRatePerSecond, long nowNanos) {
        refill(nowNanos);
        ratePerSecond = newRatePerSecond;
        level = Math.min(level, ratePerSecond);
    }

    boolean allows(long nowNanos) {
        refill(nowNanos);
        return ratePerSecond > 0 && level >= 0;
    }

    void consume(double cost) {
        level -= cost;
    }

    void refund(double cost) {
        level = Math.min(ratePerSecond, level + cost);
    }

    /**
     * Returns the time in seconds until a request is allowed after other requests with a total cost of {@code
     * costAhead}, or infinity if the rate is 0.
     */
    double secondsUntilAllowed(double costAhead, long nowNanos) {
        refill(nowNanos);
        double missing = costAhead - level;
        if (missing <= 0) {
            return 0;
        }
        return ratePerSecond > 0 ? missing / ratePerSecond : Double.POSITIVE_INFINITY;
    }

    private void refill(long nowNanos) {
        level = Math.min(ratePerSecond, level + ratePerSecond * (double) (nowNanos - refilledNanos) / NANOS_PER_SECOND);
        refilledNanos = nowNanos;
    }
}
