package org.yuccagw.core.ratelimit;

import org.yuccagw.core.notice.NoticesComponent;

/**
 * What endpoints ask of those that call them.
 *
 * @param rateLimits of all entries together
 * @param notices of this entry, and whether they leave
 */
public record EndpointConstraints(RateLimitsComponent rateLimits, NoticesComponent notices) {}
