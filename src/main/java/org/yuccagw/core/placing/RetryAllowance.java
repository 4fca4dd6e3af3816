package org.yuccagw.core.placing;

import java.time.Duration;

/**
 * This entry's share of the retry budget of one service.
 *
 * <p>In any window, all entries together may send a service as many retries as a ratio of its requests plus a fixed
 * slack. There is no central counter: an entry uses the ratio of its own requests, whose sum over all entries is the
 * ratio of all requests, and an equal share of the slack. Both are reduced by {@link #SAFETY_FACTOR}, since entries
 * don't know their exact number and since any window of measurement is offset from this one.
 *
 * <p>Example: with a ratio of 0.2, a slack of 56, 8 entries and 40 requests here within the last 10 s, the entry may
 * send 0.8 * (8 + 7) = 12 retries.
 */
final class RetryAllowance {
    private static final double SAFETY_FACTOR = 0.8;
    private static final int BUCKETS_PER_WINDOW = 10;

    /**
     * One more than a window has, since the oldest bucket lies partly within the window that ends now. Its retries
     * count, so that no window holds more retries than are counted at its end; its requests don't.
     */
    private static final int BUCKETS = BUCKETS_PER_WINDOW + 1;

    private final double ratio;
    private final double slack;
    private final long bucketNanos;
    private final long[] requests = new long[BUCKETS];
    private final long[] retries = new long[BUCKETS];
    private long newestBucket;

    private RetryAllowance(double ratio, double slack, Duration window) {
        this.ratio = ratio;
        this.slack = slack;
        this.bucketNanos = window.toNanos() / BUCKETS_PER_WINDOW;
    }

    static RetryAllowance of(double ratio, double slack, Duration window) {
        return new RetryAllowance(ratio, slack, window);
    }

    void countRequest(long nowNanos) {
        requests[currentSlot(nowNanos)]++;
    }

    /**
     * Returns whether this entry's share of the budget permits one more retry now.
     *
     * @param entries number of entries among which the slack is divided
     */
    boolean permitsRetry(long nowNanos, int entries) {
        removeExpired(nowNanos);
        int oldestSlot = slotOf(newestBucket - BUCKETS_PER_WINDOW);
        long countedRequests = sum(requests) - requests[oldestSlot];
        double allowed = SAFETY_FACTOR * (ratio * countedRequests + slack / Math.max(1, entries));
        return sum(retries) + 1 <= allowed;
    }

    /**
     * Consumes one retry, which is sent now, if this entry's share of the budget permits it.
     *
     * @param entries number of entries among which the slack is divided
     * @return whether the retry may be sent
     */
    boolean tryConsume(long nowNanos, int entries) {
        boolean permitted = permitsRetry(nowNanos, entries);
        if (permitted) {
            retries[currentSlot(nowNanos)]++;
        }
        return permitted;
    }

    private int currentSlot(long nowNanos) {
        removeExpired(nowNanos);
        return slotOf(newestBucket);
    }

    private void removeExpired(long nowNanos) {
        long bucket = Math.floorDiv(nowNanos, bucketNanos);
        long elapsedBuckets = Math.min(BUCKETS, bucket - newestBucket);
        for (long step = 1; step <= elapsedBuckets; step++) {
            int clearedSlot = slotOf(bucket - elapsedBuckets + step);
            requests[clearedSlot] = 0;
            retries[clearedSlot] = 0;
        }
        newestBucket = Math.max(newestBucket, bucket);
    }

    private static int slotOf(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }

    private static long sum(long[] counts) {
        long sum = 0;
        for (long count : counts) {
            sum += count;
        }
        return sum;
    }
}
