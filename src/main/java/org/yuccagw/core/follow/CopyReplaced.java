package org.yuccagw.core.follow;

import org.yuccagw.core.control.ControlEvent;

/** Raised when a list replaced the copy of the followed keys, so that writes in between may not have been seen. */
public record CopyReplaced() implements ControlEvent {}
