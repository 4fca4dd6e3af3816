package org.yuccagw.core.lease;

import java.time.Duration;

/**
 * Durations that govern one lease.
 *
 * @param timeToLive time for which the service retains the lease after a renewal
 * @param clockMargin time by which the lease expires earlier on this entry than at the service, because clocks run at
 *     different rates
 * @param renewInterval time between two renewals
 * @param grantInterval time between two attempts to acquire a lease
 */
public record LeaseTimes(Duration timeToLive, Duration clockMargin, Duration renewInterval, Duration grantInterval) {
    /** Returns the time for which the lease is held after a grant request or renewal was sent. */
    Duration validityFromSending() {
        return timeToLive.minus(clockMargin);
    }
}
