package org.yuccagw.core.follow;

import org.yuccagw.core.control.ControlEvent;

/**
 * A key was written.
 *
 * @param revision of the write
 */
public record FactSeen(Fact fact, long revision) implements ControlEvent {}
