package org.yuccagw.core.control;

/**
 * An effect that the control core requests from its environment. Each kind is a record beside the component that
 * requests it.
 */
public interface ControlAction {}
