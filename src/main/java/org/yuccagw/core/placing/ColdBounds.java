package org.yuccagw.core.placing;

/**
 * By how much all entries together may pass what a cold endpoint bears: in any second at most the requests that it
 * bears times {@code overage}, and {@code slack} more.
 *
 * @param overage factor
 * @param slack requests
 */
public record ColdBounds(double overage, double slack) {}
