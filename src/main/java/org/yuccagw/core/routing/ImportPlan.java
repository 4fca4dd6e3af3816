package org.yuccagw.core.routing;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.yuccagw.core.cache.StoredBlock;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.StoreId;

/**
 * Cache blocks to copy from a store to the chosen endpoint before the request is sent.
 *
 * @param blocks blocks in the order of the prompt
 * @param deadline time limit for the import; blocks that are missing by then are recomputed
 * @param joinsRunningImport whether an import of the same blocks to the same endpoint is already running; the request
 *     waits for that import and starts no second one
 */
public record ImportPlan(
        StoreId store,
        NetworkAddress address,
        ImmutableList<StoredBlock> blocks,
        Duration deadline,
        boolean joinsRunningImport) {}
