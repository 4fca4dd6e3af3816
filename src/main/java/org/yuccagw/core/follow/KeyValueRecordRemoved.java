package org.yuccagw.core.follow;

import org.yuccagw.core.control.ControlEvent;

/**
 * A key was removed.
 *
 * @param revision of the removal, or of the list that lacks the key
 * @param afterOutage whether the key-value service has just been away, so that the key may come back in a moment
 */
public record KeyValueRecordRemoved(KeyValueRecord.Subject subject, long revision, boolean afterOutage)
        implements ControlEvent {}
