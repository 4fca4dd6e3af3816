package org.yuccagw.core.placing;

import java.time.Duration;

/**
 * The retry budget that all entries share, for each service.
 *
 * @param ratio retries per request
 * @param slack additional retries
 * @param window time span in which requests and retries are counted
 */
public record RetryBounds(double ratio, double slack, Duration window) {}
