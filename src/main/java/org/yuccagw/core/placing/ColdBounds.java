package org.yuccagw.core.placing;

/**
 * How far all entries together may exceed the capacity of a cold endpoint. In any second they send at most its capacity
 * in requests times {@code overage}, plus {@code slack} requests.
 *
 * @param overage factor on the endpoint's capacity
 * @param slack additional requests
 */
public record ColdBounds(double overage, double slack) {}
