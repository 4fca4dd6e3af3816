package org.yuccagw.core.stores;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.deployment.CacheStore;

/** What an entry asks of a cache store. */
public sealed interface StoreCall extends ControlAction {
    CacheStore store();

    /**
     * Asks what changed; answered by {@link StoreAnswer.Changes}.
     *
     * @param since number of the next event, 0 for all that the store still knows
     * @param longestWait how long the call may wait for an event
     */
    record AskChanges(CacheStore store, long since, Duration longestWait) implements StoreCall {}

    /** Asks for whole and partial parts; answered by {@link StoreAnswer.Inspected}. */
    record Inspect(CacheStore store) implements StoreCall {}

    /**
     * Frees parts at once, whoever reads them; answered by {@link StoreAnswer.Freed}.
     *
     * @param epoch the store's; after a restart nothing is freed
     */
    record FreeParts(CacheStore store, long epoch, ImmutableList<PartName> parts) implements StoreCall {}

    /** Asks for everything that it holds; answered by {@link StoreAnswer.Listed}. */
    record AskList(CacheStore store) implements StoreCall {}
}
