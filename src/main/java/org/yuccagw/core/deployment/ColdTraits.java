package org.yuccagw.core.deployment;

import java.time.Duration;

/**
 * Limits of the endpoints of a service while they are cold: for some time after a start, or after they have lost the
 * state that makes them fast, such as a cache.
 *
 * @param duration how long an endpoint stays cold
 * @param maxRequestsPerSecond requests per second that a cold endpoint can handle; a rate well above it terminates the
 *     endpoint. 0 for no limit
 */
public record ColdTraits(Duration duration, double maxRequestsPerSecond) {
    /** The limits of endpoints that are never cold. */
    public static final ColdTraits NEVER_COLD = new ColdTraits(Duration.ZERO, 0);

    public boolean isBounded() {
        return maxRequestsPerSecond > 0;
    }
}
