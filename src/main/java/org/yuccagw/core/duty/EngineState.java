package org.yuccagw.core.duty;

import com.google.common.collect.ImmutableMap;

/**
 * The state that an engine reports.
 *
 * @param startedMillis Unix time of its start, in milliseconds; {@code EndpointIncarnation.UNTOLD} if it doesn't report
 *     it
 * @param loading whether it is carrying out an order
 * @param orders how many orders it has accepted since its start; it rejects an order that expects another number
 * @param weights version of the weights by model
 */
public record EngineState(long startedMillis, boolean loading, long orders, ImmutableMap<String, Long> weights) {}
