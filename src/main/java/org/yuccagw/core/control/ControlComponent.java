package org.yuccagw.core.control;

/**
 * One deterministic state machine of the control core. All parts run on the one control thread, so a part holds its
 * state in plain fields and never locks. A part ignores the events it doesn't know.
 */
public interface ControlComponent {
    /** Called once, before the first event. */
    default void start(ControlContext context) {}

    void handle(ControlEvent event, ControlContext context);

    /** Adds this part's immutable state to the next snapshot; called only after something happened. */
    default void contribute(ControlSnapshot.Builder snapshot) {}
}
