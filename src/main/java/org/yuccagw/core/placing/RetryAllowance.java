package org.yuccagw.core.placing;

import java.time.Duration;

/**
 * This entry's share of the retry budget of one service.
 *
 * <p>In any window, all entries together may send a service as many retries as a ratio of its requests plus a fixed
 * slack. There is no central counter: an entry uses the ratio of the requests that it places itself, whose sum over all
 * entries is the ratio of all requests, and its share of the slack. Both are reduced by {@link #SAFETY_FACTOR}, since
 * any window of measurement is offset from this one.
 *
 * <p>An entry may take over requests that another one placed before: after its start, or when it becomes a lead. The
 * other one may already have used the ratio of these requests within the same window. An entry therefore uses the full
 * ratio only of as many requests as it had in the window before, and {@link #NEW_REQUESTS_FACTOR} of it for the others.
 *
 * <p>Example: with a ratio of 0.2, a slack of 56, a share of an eighth, and 40 requests here within the last 10 s and
 * within the 10 s before, the entry may send 0.8 * (8 + 7) = 12 retries.
 */
final class RetryAllowance {
    private static final double SAFETY_FACTOR = 0.8;

    /** What {@link #SAFETY_FACTOR} leaves. */
    private static final double NEW_REQUESTS_FACTOR = 1 - SAFETY_FACTOR;

    private static final int BUCKETS_PER_WINDOW = 10;

    /**
     * One more than a window has, since the oldest bucket lies partly within the window that ends now. Its retries
     * count, so that no window holds more retries than are counted at its end; its requests don't.
     */
    private static final int RETRY_BUCKETS = BUCKETS_PER_WINDOW + 1;

    /** Those of the window that ends now and of the one before. */
    private static final int BUCKETS = 2 * BUCKETS_PER_WINDOW;

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
     * @param slackShare this entry's share of the slack, between 0 and 1
     */
    boolean permitsRetry(long nowNanos, double slackShare) {
        removeExpired(nowNanos);
        long current = sumOfNewest(requests, BUCKETS_PER_WINDOW);
        long previous = sumOfNewest(requests, BUCKETS) - current;
        long continued = Math.min(current, previous);
        double requestPart = ratio * (SAFETY_FACTOR * continued + NEW_REQUESTS_FACTOR * (current - continued));
        double allowed = requestPart + SAFETY_FACTOR * slack * slackShare;
        return sumOfNewest(retries, RETRY_BUCKETS) + 1 <= allowed;
    }

    /**
     * Consumes one retry, which is sent now, if this entry's share of the budget permits it.
     *
     * @param slackShare this entry's share of the slack, between 0 and 1
     * @return whether the retry may be sent
     */
    boolean tryConsume(long nowNanos, double slackShare) {
        boolean permitted = permitsRetry(nowNanos, slackShare);
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

    private long sumOfNewest(long[] counts, int buckets) {
        long sum = 0;
        for (int age = 0; age < buckets; age++) {
            sum += counts[slotOf(newestBucket - age)];
        }
        return sum;
    }
}
