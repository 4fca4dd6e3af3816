package org.yuccagw.standins.keyvalue;

/** A token bucket with the capacity for the calls of one second, and for at least one call. */
final class CallRateLimit {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double callsPerSecond;
    private double tokens;
    private long lastRefillNanos;

    private CallRateLimit(double callsPerSecond) {
        this.callsPerSecond = callsPerSecond;
        this.tokens = burstSize();
    }

    /** @param callsPerSecond the calls allowed per second, or 0 for no limit */
    static CallRateLimit of(double callsPerSecond) {
        return new CallRateLimit(callsPerSecond);
    }

    boolean tryAcquire(long nowNanos) {
        if (callsPerSecond == 0) {
            return true;
        }
        tokens = Math.min(burstSize(), tokens + (nowNanos - lastRefillNanos) * callsPerSecond / NANOS_PER_SECOND);
        lastRefillNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    private double burstSize() {
        return Math.max(1, callsPerSecond);
    }
}
