package org.yuccagw.core.lease;

import java.time.Duration;

/**
 * Notices that this process stood still.
 *
 * <p>Guards against a holder whose VM was suspended past the end of its lease. The monotonic clock doesn't count the
 * time of a suspension, so by that clock the lease still holds, and the first thing that the process does after waking
 * would be an order beside those of the next holder. The time of day does count it: it runs ahead of the monotonic
 * clock by as much as the suspension lasted. A step of the time of day looks the same and costs one renewal.
 */
public final class PauseWatch {
    /** Above what timers are late by on a busy VM, below the shortest lease. */
    private static final Duration NOTICED = Duration.ofMillis(400);

    private boolean started;
    private long aheadMillis;

    /** Whether the time of day ran ahead of the monotonic clock since the last look. */
    public boolean pausedSinceLastLook(long nowNanos, long wallMillis) {
        long ahead = wallMillis - nowNanos / 1_000_000;
        boolean paused = started && ahead - aheadMillis > NOTICED.toMillis();
        started = true;
        aheadMillis = ahead;
        return paused;
    }
}
