package org.yuccagw.core.deployment;

import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.StoreId;

/**
 * A store that keeps cached parts of prompts for model engines.
 *
 * @param capacityTokens capacity in tokens
 * @param linkMegabits bandwidth of its link in megabits per second
 * @param maxWatchers maximum number of waiting calls for its events at once
 * @param managed whether the store evicts nothing by itself
 * @param startLatencyMillis latency before each transfer begins, in milliseconds
 */
public record CacheStore(
        StoreId id,
        NetworkAddress address,
        FailureDomain domain,
        long capacityTokens,
        double linkMegabits,
        int maxWatchers,
        boolean managed,
        double startLatencyMillis) {}
