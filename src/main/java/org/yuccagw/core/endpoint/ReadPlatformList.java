package org.yuccagw.core.endpoint;

import org.yuccagw.core.control.ControlAction;

/** Reads the platform's list of VMs. The outcome is reported by {@link PlatformListed}; a failure isn't reported. */
public record ReadPlatformList() implements ControlAction {}
