package org.yuccagw.core.stores;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.notice.EndpointNotice;

/** The outcome of a {@link StoreCall}. */
public sealed interface StoreAnswer extends ControlEvent {
    StoreId store();

    /**
     * The events since the previous call, in order.
     *
     * @param epoch differs after each restart of the store
     * @param next the event number to start the next call from
     * @param eventsLost whether events before these are missing
     * @param clockMillis the endpoints' clock in milliseconds when the store answered
     */
    record Changes(
            StoreId store, long epoch, long next, boolean eventsLost, long clockMillis, ImmutableList<Change> changes)
            implements StoreAnswer {}

    /** All parts that the store holds whole. */
    record Listed(StoreId store, long epoch, long next, ImmutableList<Change> held) implements StoreAnswer {}

    /** The contents of a store, or empty if it didn't answer. */
    record Inspected(StoreId store, Optional<Contents> contents) implements StoreAnswer {}

    /**
     * The parts that occupy a store's capacity.
     *
     * @param held whole parts
     * @param partial parts that are being written or whose write was interrupted; they occupy capacity until they are
     *     freed
     */
    record Contents(long epoch, ImmutableList<Change> held, ImmutableList<PartName> partial) {}

    /** The outcome of freeing parts. Nothing was freed if the store has restarted or is unreachable. */
    record Freed(StoreId store, boolean done, String detail) implements StoreAnswer {}

    /** A notice in the headers of an answer; reported before the answer itself. */
    record Notice(StoreId store, EndpointNotice notice) implements StoreAnswer {}

    /** The call failed: the store may have terminated, or this entry can't reach it. */
    record Unanswered(StoreId store, String reason) implements StoreAnswer {}

    /**
     * A part became whole in a store, or was removed from it.
     *
     * @param held whether the store holds the part whole now
     * @param tokens number of the part's tokens that the store holds now
     * @param model the model for which the part was computed
     */
    record Change(boolean held, String salt, String part, int tokens, String model) {
        PartName name() {
            return new PartName(salt, part);
        }
    }
}
