package org.yuccagw.core.stores;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.yuccagw.core.control.ControlAction;
import org.yuccagw.core.deployment.CacheStore;

/** A call to a cache store. */
public sealed interface StoreCall extends ControlAction {
    CacheStore store();

    /**
     * Polls for events; answered by {@link StoreAnswer.Changes}.
     *
     * @param since number of the next event, 0 for all events that the store still keeps
     * @param maxWait how long the store may hold the call open until an event occurs
     */
    record PollChanges(CacheStore store, long since, Duration maxWait) implements StoreCall {}

    /** Queries whole and partial parts; answered by {@link StoreAnswer.Inspected}. */
    record Inspect(CacheStore store) implements StoreCall {}

    /**
     * Frees parts at once, even while they are being read; answered by {@link StoreAnswer.Freed}.
     *
     * @param epoch the epoch in which the parts were listed; a store that has restarted since frees nothing
     */
    record FreeParts(CacheStore store, long epoch, ImmutableList<PartName> parts) implements StoreCall {}

    /** Queries all parts that the store holds whole; answered by {@link StoreAnswer.Listed}. */
    record ListParts(CacheStore store) implements StoreCall {}
}
