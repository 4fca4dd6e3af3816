package org.yuccagw.core.ratelimit;

import org.yuccagw.core.notice.NoticesComponent;

/**
 * The constraints that endpoints impose on the entries that call them.
 *
 * @param rateLimits rate limits that apply to all entries together
 * @param notices back-offs requested of this entry, and endpoints that are leaving
 */
public record EndpointConstraints(RateLimitsComponent rateLimits, NoticesComponent notices) {}
