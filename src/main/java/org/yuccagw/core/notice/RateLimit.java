package org.yuccagw.core.notice;

import java.util.Optional;

/**
 * The requests that an endpoint accepts from all entries together, for as long as it states this limit.
 *
 * @param perSecond requests per second, at least {@link #MIN_PER_SECOND}
 */
public record RateLimit(double perSecond) {
    /** An endpoint that receives no calls couldn't report that its limit has ended. */
    static final double MIN_PER_SECOND = 0.1;

    /**
     * Returns a limit of the given number of requests per second; empty if the number is negative, infinite or not a
     * number.
     */
    public static Optional<RateLimit> of(double perSecond) {
        boolean valid = perSecond >= 0 && perSecond < Double.POSITIVE_INFINITY;
        return valid ? Optional.of(new RateLimit(Math.max(MIN_PER_SECOND, perSecond))) : Optional.empty();
    }

    @Override
    public String toString() {
        return Double.toString(perSecond);
    }
}
