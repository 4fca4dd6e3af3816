package org.yuccagw.core.port;

import java.util.Locale;

/** What shows the reader of an HTTP message that its body is complete. */
public enum BodyEnd {
    /** The stated length, which is zero for messages that have no body. */
    LENGTH,
    /** The last chunk. */
    LAST_CHUNK,
    /** The end of the connection. A sender that fails may close its connection in the same way. */
    CONNECTION;

    /** Returns the name for logs and metrics. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
