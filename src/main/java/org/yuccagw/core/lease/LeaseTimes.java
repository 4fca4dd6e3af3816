package org.yuccagw.core.lease;

import java.time.Duration;

/**
 * The times of one lease.
 *
 * @param timeToLive how long it lasts at the service after a renewal
 * @param clockMargin how much earlier it ends here than there, for clocks that run at different rates
 * @param renewInterval time between renewals
 * @param grantInterval time between attempts to get one
 */
public record LeaseTimes(Duration timeToLive, Duration clockMargin, Duration renewInterval, Duration grantInterval) {
    Duration heldFromSending() {
        return timeToLive.minus(clockMargin);
    }
}
