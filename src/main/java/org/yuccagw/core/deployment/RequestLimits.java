package org.yuccagw.core.deployment;

import java.time.Duration;

/**
 * Limits on the requests of callers.
 *
 * @param headerBytes maximum size of a request's head, in bytes
 * @param bodyBytes maximum size of a request's body, in bytes
 * @param headerTimeout maximum time for the head to arrive, and again for the body
 * @param idleTimeout maximum time that a connection may stay open without a request
 */
public record RequestLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {}
