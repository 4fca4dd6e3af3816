package org.yuccagw.core.follow;

import org.yuccagw.core.control.ControlEvent;

/**
 * Raised when this entry has asked the key-value service whether its copy of the followed keys is complete, after the
 * events of the changes that it lacked.
 *
 * @param successful whether the service answered
 * @param askedNanos monotonic time of the call; if successful, the copy includes all earlier writes
 */
public record CopyConfirmed(boolean successful, long askedNanos) implements ControlEvent {}
