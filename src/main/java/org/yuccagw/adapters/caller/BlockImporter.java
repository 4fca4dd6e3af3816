package org.yuccagw.adapters.caller;

import java.util.function.Consumer;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.routing.ImportPlan;

/** Makes an endpoint import cache blocks from a store before a request is sent to it. */
@FunctionalInterface
public interface BlockImporter {
    /**
     * Starts an import without blocking. {@code done} is called exactly once, on any thread.
     *
     * @param version weight version that the engine must run for a block to be committed
     */
    void importBlocks(EndpointStatus endpoint, ImportPlan plan, String version, Consumer<Outcome> done);

    /**
     * The result of an import.
     *
     * @param blocks number of blocks available at the engine
     * @param bytes bytes transferred
     */
    record Outcome(int blocks, long bytes) {}
}
