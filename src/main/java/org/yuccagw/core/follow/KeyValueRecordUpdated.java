package org.yuccagw.core.follow;

import org.yuccagw.core.control.ControlEvent;

/**
 * Raised when a key was written.
 *
 * @param revision revision of the write
 * @param ageUnknown whether the key was found when this entry started, so that it may have been written long before
 */
public record KeyValueRecordUpdated(KeyValueRecord record, long revision, boolean ageUnknown) implements ControlEvent {}
