package org.yuccagw.core.duty;

import com.google.common.collect.ImmutableMap;

/**
 * What an engine says of itself.
 *
 * @param startedMillis Unix time of its start, in milliseconds; {@code EndpointIncarnation.UNKNOWN_START} if unknown
 * @param loading whether it carries out an order
 * @param orders how many orders it has accepted since its start; an order that expects another number is refused
 * @param weights version by model
 */
public record EngineState(long startedMillis, boolean loading, long orders, ImmutableMap<String, Long> weights) {}
