package org.yuccagw.core.notice;

import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.EndpointIncarnation;

/** An endpoint announced that it is leaving, to this entry or to another one. */
public record EndpointLeaving(EndpointIncarnation endpoint) implements ControlEvent {}
