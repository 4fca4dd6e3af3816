package org.yuccagw.core.membership;

import org.yuccagw.core.control.ControlEvent;

/** Requests a graceful stop of this entry: leave the directory, hand over shards, finish running requests. */
public record StopRequested() implements ControlEvent {}
