package org.yuccagw.core.ratelimit;

/**
 * What traffic threads see of rate limits.
 *
 * @param endpoints how many have one as far as this entry knows
 */
public record RateLimitsSnapshot(int endpoints) {
    /** No endpoint has one. */
    public static final RateLimitsSnapshot NONE = new RateLimitsSnapshot(0);
}
