package org.yuccagw.core.stores;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.StoreId;
import org.yuccagw.core.notice.EndpointNotice;

/** What came of a {@link StoreCall}. */
public sealed interface StoreAnswer extends ControlEvent {
    StoreId store();

    /**
     * Changes in order.
     *
     * @param epoch differs after each restart of the store
     * @param next number to ask from the next time
     * @param gap whether events are missing before these
     * @param clockMillis the endpoints' clock when the store answered
     */
    record Changes(StoreId store, long epoch, long next, boolean gap, long clockMillis, ImmutableList<Change> changes)
            implements StoreAnswer {}

    /** Everything that it holds whole. */
    record Listed(StoreId store, long epoch, long next, ImmutableList<Change> held) implements StoreAnswer {}

    /** What fills it; empty if it gave no answer. */
    record Inspected(StoreId store, Optional<Contents> contents) implements StoreAnswer {}

    /**
     * What fills a store.
     *
     * @param held whole parts
     * @param partial parts that are being written, or whose writing broke off; they take room until they are freed
     */
    record Contents(long epoch, ImmutableList<Change> held, ImmutableList<PartName> partial) {}

    /** Parts were freed, or not: then the store has restarted, or can't be reached. */
    record Freed(StoreId store, boolean done, String detail) implements StoreAnswer {}

    /** The head of an answer says something of the holder; comes before the answer. */
    record Noticed(StoreId store, EndpointNotice notice) implements StoreAnswer {}

    /** No answer: it may be gone, or cut off from this entry. */
    record Silent(StoreId store, String reason) implements StoreAnswer {}

    /**
     * A part became whole there, or went away.
     *
     * @param tokens that it holds of the part now
     * @param model for which the part was computed
     */
    record Change(boolean held, String salt, String part, int tokens, String model) {
        PartName name() {
            return new PartName(salt, part);
        }
    }
}
