package org.yuccagw.core.control;

/**
 * One deterministic state machine of the control core. All components run on the one control thread, so a component
 * holds its state in plain fields and never locks. A component ignores the events that it doesn't handle.
 */
public interface ControlComponent {
    /** Called once, before the first event. */
    default void start(ControlContext context) {}

    void handle(ControlEvent event, ControlContext context);

    /** Adds this component's immutable state to the next snapshot; called only after an event was handled. */
    default void contribute(ControlSnapshot.Builder snapshot) {}
}
