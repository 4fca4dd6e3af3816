package org.yuccagw.core.follow;

import java.util.Optional;
import java.util.OptionalLong;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.lease.Moment;

/**
 * Raised when a key was written.
 *
 * @param revision revision of the write
 * @param ageUnknown whether the key was found when this entry started, so that it may have been written long before
 * @param unseenSinceNanos if the key-value service has just become reachable again: the time until which all writes had
 *     been seen, so that this one may have happened at any time since
 * @param notBefore a moment until which this entry had received all writes from the service itself, so that this one
 *     came later; empty if it may have come at any time
 */
public record KeyValueRecordUpdated(
        KeyValueRecord record,
        long revision,
        boolean ageUnknown,
        OptionalLong unseenSinceNanos,
        Optional<Moment> notBefore)
        implements ControlEvent {
    /** Creates the event for a write that was seen when it happened, or was found at the start. */
    public KeyValueRecordUpdated(KeyValueRecord record, long revision, boolean ageUnknown) {
        this(record, revision, ageUnknown, OptionalLong.empty(), Optional.empty());
    }
}
