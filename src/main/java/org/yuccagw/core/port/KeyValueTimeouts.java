package org.yuccagw.core.port;

import java.time.Duration;

/** How long a client of the key-value service waits, so that every call is answered within a known time. */
public final class KeyValueTimeouts {
    /** Limit on the establishment of a connection. */
    public static final Duration CONNECT = Duration.ofMillis(700);

    /** Silence after which a call is lost; the service answers within some hundred milliseconds while it is slow. */
    private static final Duration READ = Duration.ofMillis(1500);

    /** Silence beyond the wait of a watch after which the watch is lost. */
    private static final Duration WATCH_MARGIN = Duration.ofMillis(700);

    private KeyValueTimeouts() {}

    /** Returns the silence after which a call is lost once it has a connection. */
    public static Duration silence(KeyValueCall call) {
        return call instanceof KeyValueCall.Watch watch ? watch.maxWait().plus(WATCH_MARGIN) : READ;
    }
}
