package org.yuccagw.standins.http;

/**
 * A network link with a limited rate. Reservations are served one after the other; the caller waits until its own has
 * been transmitted.
 *
 * <p>Example at 1,000 bytes/s, idle: two reservations of 500 bytes at time 0 are complete after 0.5 s and 1 s.
 */
public final class RateLimitedLink {
    private static final double NANOS_PER_SECOND = 1e9;

    private double bytesPerSecond;
    private long busyUntilNanos;

    private RateLimitedLink(double bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
    }

    public static RateLimitedLink of(double bytesPerSecond) {
        return new RateLimitedLink(bytesPerSecond);
    }

    public synchronized double bytesPerSecond() {
        return bytesPerSecond;
    }

    /** Sets the rate of future reservations; reservations that were made before keep their completion times. */
    public synchronized void setBytesPerSecond(double newBytesPerSecond) {
        bytesPerSecond = newBytesPerSecond;
    }

    /**
     * Reserves the link for these bytes and returns the nanoseconds from {@code nowNanos} until their transmission
     * ends.
     */
    public synchronized long reserve(long nowNanos, long bytes) {
        long startNanos = Math.max(nowNanos, busyUntilNanos);
        busyUntilNanos = startNanos + (long) (bytes * NANOS_PER_SECOND / bytesPerSecond);
        return busyUntilNanos - nowNanos;
    }
}
