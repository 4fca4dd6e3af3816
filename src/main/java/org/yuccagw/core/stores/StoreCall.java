package org.yuccagw.core.stores;

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

    /** Asks for everything that it holds; answered by {@link StoreAnswer.Listed}. */
    record AskList(CacheStore store) implements StoreCall {}
}
