package org.yuccagw.core.control;

/** The queue to which adapters and traffic threads add events. Safe for use by any thread. */
@FunctionalInterface
public interface ControlInput {
    void offer(ControlEvent event);

    /** Returns whether events are handled at present; an entry whose core handles none can't serve. */
    default boolean isProgressing() {
        return true;
    }
}
