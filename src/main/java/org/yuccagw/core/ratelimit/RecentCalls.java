package org.yuccagw.core.ratelimit;

import java.time.Duration;
import java.util.ArrayDeque;

/** Counts the calls within the last {@link #WINDOW}. */
final class RecentCalls {
    /** Endpoints enforce their limit over a window of this length. */
    static final Duration WINDOW = Duration.ofSeconds(4);

    private final ArrayDeque<Long> callNanos = new ArrayDeque<>();

    void add(long nowNanos) {
        callNanos.add(nowNanos);
    }

    int count(long nowNanos) {
        while (!callNanos.isEmpty() && nowNanos - callNanos.peek() >= WINDOW.toNanos()) {
            callNanos.remove();
        }
        return callNanos.size();
    }
}
