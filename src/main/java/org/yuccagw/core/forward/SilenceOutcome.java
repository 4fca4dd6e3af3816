package org.yuccagw.core.forward;

import java.util.Locale;

/** What became of an attempt whose endpoint was silent for longer than expected. */
public enum SilenceOutcome {
    /** The endpoint went on. */
    CONTINUED,
    /** Another endpoint took the place of the silent one. */
    REPLACED,
    /** The request ended without an answer of either. */
    UNANSWERED;

    /** Returns the name for metrics. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
