package org.yuccagw.platform;

import com.google.common.collect.Comparators;
import java.time.Duration;

/**
 * Keeps calls from a service that is down, so that an outage costs neither waiting nor a flood of calls.
 *
 * <p>After {@link #FAILURES_TO_OPEN} failures in a row it is open: calls are refused here, but for one trial in each
 * interval, which grows up to {@link #LONGEST_INTERVAL}. The first call that succeeds closes it.
 */
final class CircuitBreaker {
    private static final int FAILURES_TO_OPEN = 4;
    private static final Duration SHORTEST_INTERVAL = Duration.ofMillis(250);
    /** What an entry may miss after the service's return; the tightest bound on a change is two seconds. */
    private static final Duration LONGEST_INTERVAL = Duration.ofMillis(500);

    private int failuresInRow;
    private long nextTrialNanos;
    private Duration interval = SHORTEST_INTERVAL;

    /** Whether a call may be sent now. */
    synchronized boolean permits(long nowNanos) {
        if (failuresInRow < FAILURES_TO_OPEN) {
            return true;
        }
        if (nowNanos - nextTrialNanos < 0) {
            return false;
        }
        nextTrialNanos = nowNanos + interval.toNanos();
        return true;
    }

    synchronized void succeeded() {
        failuresInRow = 0;
        interval = SHORTEST_INTERVAL;
    }

    synchronized void failed(long nowNanos) {
        failuresInRow++;
        if (failuresInRow > FAILURES_TO_OPEN) {
            Duration doubled = interval.multipliedBy(2);
            interval = Comparators.min(doubled, LONGEST_INTERVAL);
        }
        if (failuresInRow >= FAILURES_TO_OPEN) {
            nextTrialNanos = nowNanos + interval.toNanos();
        }
    }

    synchronized boolean isOpen() {
        return failuresInRow >= FAILURES_TO_OPEN;
    }
}
