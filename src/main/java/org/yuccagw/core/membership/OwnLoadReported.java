package org.yuccagw.core.membership;

import org.yuccagw.core.control.ControlEvent;

/** Reports how many requests run on this entry, so that the directory can order entries by load. */
public record OwnLoadReported(int runningRequests) implements ControlEvent {}
