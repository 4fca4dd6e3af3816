package org.yuccagw.core.placing;

import org.yuccagw.core.control.ControlEvent;

/**
 * The endpoint of an attempt has started its answer, so all work before the first byte, such as the prefill, is done.
 *
 * @param ticket identifies the placement of the attempt
 */
public record AttemptBegun(long ticket) implements ControlEvent {}
