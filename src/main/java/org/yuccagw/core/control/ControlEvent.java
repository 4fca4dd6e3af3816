package org.yuccagw.core.control;

/** Something that happened outside the control core. Each kind is a record beside the component that handles it. */
public interface ControlEvent {}
