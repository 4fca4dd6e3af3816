package org.yuccagw.core.lease;

import java.time.Duration;

/**
 * Detects that this process was suspended.
 *
 * <p>Guards against a lease holder whose VM was suspended past the expiry of its lease. The monotonic clock doesn't
 * count the time of a suspension, so by that clock the lease is still valid, and the process could send an order
 * concurrently with the next holder right after it resumes. The wall clock does count that time, so it advances
 * relative to the monotonic clock by the duration of the suspension. A step of the wall clock looks the same and costs
 * one lease renewal.
 */
public final class PauseDetector {
    /** Longer than the delay of timers on a busy VM, shorter than the shortest lease. */
    private static final Duration MIN_PAUSE = Duration.ofMillis(400);

    private boolean initialized;
    private long offsetMillis;

    /** Whether the wall clock has advanced relative to the monotonic clock since the previous call. */
    public boolean suspendedSinceLastCheck(long nowNanos, long wallMillis) {
        long newOffsetMillis = wallMillis - nowNanos / 1_000_000;
        boolean paused = initialized && newOffsetMillis - offsetMillis > MIN_PAUSE.toMillis();
        initialized = true;
        offsetMillis = newOffsetMillis;
        return paused;
    }
}
