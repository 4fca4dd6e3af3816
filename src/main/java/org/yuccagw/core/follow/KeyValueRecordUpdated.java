package org.yuccagw.core.follow;

import java.util.OptionalLong;
import org.yuccagw.core.control.ControlEvent;

/**
 * Raised when a key was written.
 *
 * @param revision revision of the write
 * @param ageUnknown whether the key was found when this entry started, so that it may have been written long before
 * @param unseenSinceNanos if the key-value service has just become reachable again: the time until which all writes had
 *     been seen, so that this one may have happened at any time since
 */
public record KeyValueRecordUpdated(
        KeyValueRecord record, long revision, boolean ageUnknown, OptionalLong unseenSinceNanos)
        implements ControlEvent {
    /** Creates the event for a write that was seen when it happened, or was found at the start. */
    public KeyValueRecordUpdated(KeyValueRecord record, long revision, boolean ageUnknown) {
        this(record, revision, ageUnknown, OptionalLong.empty());
    }
}
