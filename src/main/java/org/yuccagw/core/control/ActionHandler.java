package org.yuccagw.core.control;

/** Performs the actions of one kind. Called on the control thread, so it must not block. */
@FunctionalInterface
public interface ActionHandler {
    /**
     * Performs the action if it is of a kind that this handler supports.
     *
     * @param input receives the outcome as an event
     * @return false if another handler must perform it
     */
    boolean perform(ControlAction action, ControlInput input);
}
