package org.yuccagw.core.follow;

import org.yuccagw.core.control.ControlEvent;

/**
 * A key was written.
 *
 * @param revision of the write
 * @param ageUnknown whether the key was found at the start of this entry, so that it may have been written long ago
 */
public record KeyValueRecordUpdated(KeyValueRecord record, long revision, boolean ageUnknown) implements ControlEvent {}
