package org.yuccagw.core.ratelimit;

import java.time.Duration;
import java.util.ArrayDeque;

/** How often something was called within the last {@link #SPAN}. */
final class RecentCalls {
    /** Endpoints are judged by what they get in so long a time. */
    static final Duration SPAN = Duration.ofSeconds(4);

    private final ArrayDeque<Long> calledNanos = new ArrayDeque<>();

    void add(long nowNanos) {
        calledNanos.add(nowNanos);
    }

    int count(long nowNanos) {
        while (!calledNanos.isEmpty() && nowNanos - calledNanos.peek() >= SPAN.toNanos()) {
            calledNanos.remove();
        }
        return calledNanos.size();
    }
}
