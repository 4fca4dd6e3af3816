package org.yuccagw.core.deployment;

import org.yuccagw.core.id.ServiceName;

/**
 * One service of a route and its share of the route's requests.
 *
 * @param weight relative to the weights of the route's other services, at least 0
 */
public record ServiceShare(ServiceName service, int weight) {}
