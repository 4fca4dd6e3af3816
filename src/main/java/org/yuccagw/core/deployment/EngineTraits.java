package org.yuccagw.core.deployment;

import com.google.common.collect.ImmutableList;

/**
 * The configured properties of the model engines of a service.
 *
 * @param slots maximum number of requests that one engine runs at once
 * @param memoryTokens tokens of running requests and cached parts that fit into one engine's memory
 * @param tokenBytes bytes of cache memory for one token
 * @param linkMegabits bandwidth in megabits per second at which an engine transfers cache memory
 * @param maxWatchers maximum number of waiting calls for the cache events of one engine at once
 * @param models names of the models that the engines run
 */
public record EngineTraits(
        int slots,
        long memoryTokens,
        long tokenBytes,
        double linkMegabits,
        int maxWatchers,
        ImmutableList<String> models) {}
