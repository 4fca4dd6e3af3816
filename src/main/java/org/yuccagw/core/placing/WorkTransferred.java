package org.yuccagw.core.placing;

import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.EndpointIncarnation;

/**
 * Work of this entry on an endpoint that another entry placed is counted here from now on, or no longer.
 *
 * @param added work that is counted from now on
 * @param removed work that is no longer counted
 */
public record WorkTransferred(EndpointIncarnation endpoint, Work added, Work removed) implements ControlEvent {}
