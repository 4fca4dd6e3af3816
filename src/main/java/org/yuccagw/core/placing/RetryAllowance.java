package org.yuccagw.core.placing;

import java.time.Duration;

/**
 * This entry's part of the retry budget of one service.
 *
 * <p>All entries together may send a service, in any window, as many repeats as a ratio of its requests plus a fixed
 * slack. Nobody counts for all: an entry takes the ratio of its own requests, which add up to the ratio of all, and an
 * equal part of the slack. Both are cut by {@link #SAFETY}, since entries don't know exactly how many they are, and
 * since the window of the count slides against ours.
 *
 * <p>Example: ratio 0.2, slack 56, 8 entries, 40 requests here in the last 10 s: 0.8 * (8 + 7) = 12 repeats.
 */
final class RetryAllowance {
    private static final double SAFETY = 0.8;
    private static final int BUCKETS = 10;

    private final double ratio;
    private final double slack;
    private final long bucketNanos;
    private final long[] requests = new long[BUCKETS];
    private final long[] repeats = new long[BUCKETS];
    private long newestBucket;

    private RetryAllowance(double ratio, double slack, Duration window) {
        this.ratio = ratio;
        this.slack = slack;
        this.bucketNanos = window.toNanos() / BUCKETS;
    }

    static RetryAllowance of(double ratio, double slack, Duration window) {
        return new RetryAllowance(ratio, slack, window);
    }

    void countRequest(long nowNanos) {
        requests[slot(nowNanos)]++;
    }

    /** Takes one repeat, if this entry's part of the budget has it. */
    boolean take(long nowNanos, int entries) {
        int slot = slot(nowNanos);
        double allowed = SAFETY * (ratio * sum(requests) + slack / Math.max(1, entries));
        if (sum(repeats) + 1 > allowed) {
            return false;
        }
        repeats[slot]++;
        return true;
    }

    private int slot(long nowNanos) {
        long bucket = Math.floorDiv(nowNanos, bucketNanos);
        long passed = Math.min(BUCKETS, bucket - newestBucket);
        for (long step = 1; step <= passed; step++) {
            int cleared = (int) Math.floorMod(bucket - passed + step, (long) BUCKETS);
            requests[cleared] = 0;
            repeats[cleared] = 0;
        }
        newestBucket = Math.max(newestBucket, bucket);
        return (int) Math.floorMod(newestBucket, (long) BUCKETS);
    }

    private static long sum(long[] counts) {
        long sum = 0;
        for (long count : counts) {
            sum += count;
        }
        return sum;
    }
}
