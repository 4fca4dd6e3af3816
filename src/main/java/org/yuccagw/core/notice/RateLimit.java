package org.yuccagw.core.notice;

import java.util.Optional;

/**
 * What an endpoint takes from all entries together for as long as it says so.
 *
 * @param perSecond requests a second, at least {@link #LEAST_PER_SECOND}
 */
public record RateLimit(double perSecond) {
    /** An endpoint that nobody calls can't say that its limit is over. */
    static final double LEAST_PER_SECOND = 0.1;

    /** A limit of so many requests a second; empty if the number makes no sense. */
    public static Optional<RateLimit> of(double perSecond) {
        boolean sound = perSecond >= 0 && perSecond < Double.POSITIVE_INFINITY;
        return sound ? Optional.of(new RateLimit(Math.max(LEAST_PER_SECOND, perSecond))) : Optional.empty();
    }

    @Override
    public String toString() {
        return Double.toString(perSecond);
    }
}
