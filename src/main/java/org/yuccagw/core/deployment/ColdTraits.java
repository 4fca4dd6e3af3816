package org.yuccagw.core.deployment;

import java.time.Duration;

/**
 * What the endpoints of a service bear while they are cold: for some time after a start, or when they have lost what
 * makes them fast.
 *
 * @param lasts how long an endpoint stays cold
 * @param perSecond requests a second that a cold endpoint bears; well above that it ends. 0 for any number
 */
public record ColdTraits(Duration lasts, double perSecond) {
    /** Endpoints that are never cold. */
    public static final ColdTraits NEVER_COLD = new ColdTraits(Duration.ZERO, 0);

    public boolean isBounded() {
        return perSecond > 0;
    }
}
