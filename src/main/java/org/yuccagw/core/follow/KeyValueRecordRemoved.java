package org.yuccagw.core.follow;

import org.yuccagw.core.control.ControlEvent;

/**
 * Raised when a key was removed.
 *
 * @param revision revision of the removal, or of the list that doesn't contain the key
 * @param afterOutage whether the key-value service has just become reachable again, so that the key may be written
 *     again shortly
 */
public record KeyValueRecordRemoved(KeyValueRecord.Subject subject, long revision, boolean afterOutage)
        implements ControlEvent {}
