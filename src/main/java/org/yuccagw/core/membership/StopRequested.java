package org.yuccagw.core.membership;

import org.yuccagw.core.control.ControlEvent;

/** This entry shall stop gracefully: leave the directory, hand over shards, finish what runs. */
public record StopRequested() implements ControlEvent {}
