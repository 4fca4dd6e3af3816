package org.yuccagw.platform;

import java.time.Duration;

/**
 * A token bucket that limits the rate of calls.
 *
 * <p>The bucket holds the calls of one second: it starts full, refills at {@code callsPerSecond} and never holds more
 * than that. Thread-safe.
 */
final class CallTokenBucket {
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final double callsPerSecond;
    private double tokens;
    private long lastRefillNanos;
    private boolean started;

    private CallTokenBucket(double callsPerSecond) {
        this.callsPerSecond = callsPerSecond;
        this.tokens = callsPerSecond;
    }

    static CallTokenBucket of(double callsPerSecond) {
        return new CallTokenBucket(callsPerSecond);
    }

    /** Takes one token and returns true, or returns false if none is left. */
    synchronized boolean tryTake(long nowNanos) {
        if (started) {
            double refilled = (nowNanos - lastRefillNanos) / NANOS_PER_SECOND * callsPerSecond;
            tokens = Math.min(callsPerSecond, tokens + Math.max(0, refilled));
        }
        started = true;
        lastRefillNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
