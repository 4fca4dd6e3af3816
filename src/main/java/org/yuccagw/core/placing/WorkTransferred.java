package org.yuccagw.core.placing;

import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.EndpointIncarnation;

/**
 * Work of this entry on an endpoint that another entry placed counts here from now on, or doesn't any more.
 *
 * @param added counted from now on
 * @param removed not counted any more
 */
public record WorkTransferred(EndpointIncarnation endpoint, Work added, Work removed) implements ControlEvent {}
