package org.yuccagw.core.placing;

import java.time.Duration;

/**
 * The retry budget that all entries share, for each service.
 *
 * @param ratio repeats for each request
 * @param slack repeats beyond that
 * @param window span in which they count
 */
public record RetryBounds(double ratio, double slack, Duration window) {}
