package org.yuccagw.core.relay;

import org.yuccagw.core.control.ControlEvent;

/**
 * This entry lost its paths to the endpoints, or has them again.
 *
 * @param cutOff whether it reaches no endpoint itself
 */
public record CutOffChanged(boolean cutOff) implements ControlEvent {}
