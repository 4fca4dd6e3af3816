package org.yuccagw.core.placing;

/**
 * Limits on what all entries together may send, whichever entry places the requests.
 *
 * @param retries limits the retries to a service
 * @param cold limits the requests to a cold endpoint
 */
public record PlacementBounds(RetryBounds retries, ColdBounds cold) {}
