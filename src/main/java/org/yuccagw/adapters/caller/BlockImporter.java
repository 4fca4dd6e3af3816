package org.yuccagw.adapters.caller;

import java.util.function.Consumer;
import org.yuccagw.core.endpoint.EndpointStatus;
import org.yuccagw.core.routing.ImportPlan;

/** Orders an endpoint to import cache blocks from a store. Never blocks; the outcome comes once, on any thread. */
@FunctionalInterface
public interface BlockImporter {
    void importBlocks(EndpointStatus endpoint, ImportPlan plan, String version, Consumer<Outcome> done);

    /** What arrived. */
    record Outcome(int blocks, long bytes) {}
}
