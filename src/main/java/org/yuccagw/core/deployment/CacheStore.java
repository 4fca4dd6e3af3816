package org.yuccagw.core.deployment;

import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.StoreId;

/**
 * A store that keeps cache parts for model engines.
 *
 * @param capacityTokens tokens that it has room for
 * @param linkMegabits megabits a second that it moves
 * @param mostWatchers calls for its events that it holds at once
 * @param managed whether it drops nothing by itself
 * @param firstMillis wait before each transfer, in milliseconds
 */
public record CacheStore(
        StoreId id,
        NetworkAddress address,
        FailureDomain domain,
        long capacityTokens,
        double linkMegabits,
        int mostWatchers,
        boolean managed,
        double firstMillis) {}
