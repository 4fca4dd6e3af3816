package org.yuccagw.core.forward;

import java.util.Locale;

/** How much of the last event of an answer arrived. */
public enum LastEvent {
    /** The answer has no events. */
    NONE,
    /** The last event is complete. */
    WHOLE,
    /** The end of the last event is missing. */
    PARTIAL;

    /** Returns the name for logs and metrics. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
