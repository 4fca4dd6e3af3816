package org.yuccagw.core.deployment;

import java.time.Duration;

/**
 * What a caller may send.
 *
 * @param headerBytes largest head of a request
 * @param bodyBytes largest body of a request
 * @param headerTimeout longest time for a head, and for a body, to arrive
 * @param idleTimeout how long a connection may stay without a request
 */
public record RequestLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {}
