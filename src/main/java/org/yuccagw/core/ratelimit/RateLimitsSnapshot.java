package org.yuccagw.core.ratelimit;

/**
 * The state of rate limits as published to the traffic threads.
 *
 * @param endpoints number of endpoints with a known limit
 */
public record RateLimitsSnapshot(int endpoints) {
    /** The state in which no endpoint has a limit. */
    public static final RateLimitsSnapshot NONE = new RateLimitsSnapshot(0);
}
