package org.yuccagw.core.placing;

/**
 * What all entries together may send, whoever places it.
 *
 * @param retries repeats to a service
 * @param cold requests to a cold endpoint
 */
public record PlacementBounds(RetryBounds retries, ColdBounds cold) {}
