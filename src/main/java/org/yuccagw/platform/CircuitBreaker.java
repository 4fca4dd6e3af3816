package org.yuccagw.platform;

import com.google.common.collect.Comparators;
import java.time.Duration;

/**
 * A circuit breaker for calls to one service. During an outage callers neither wait for timeouts nor flood the service
 * with calls.
 *
 * <p>The breaker opens after {@link #FAILURES_TO_OPEN} consecutive failures. While it is open, it permits one trial
 * call per interval and rejects all others. The interval doubles with each further failure, from {@link
 * #MIN_TRIAL_INTERVAL} to {@link #MAX_TRIAL_INTERVAL}. The first call that succeeds closes the breaker.
 */
final class CircuitBreaker {
    private static final int FAILURES_TO_OPEN = 4;
    private static final Duration MIN_TRIAL_INTERVAL = Duration.ofMillis(250);
    /**
     * Bounds how long an entry may miss changes after the service has recovered. The strictest limit for a change to
     * take effect is two seconds.
     */
    private static final Duration MAX_TRIAL_INTERVAL = Duration.ofMillis(500);

    private int consecutiveFailures;
    private long nextTrialNanos;
    private Duration trialInterval = MIN_TRIAL_INTERVAL;

    /** Returns whether a call may be sent now. An open breaker that permits a trial call starts the next interval. */
    synchronized boolean permitsCall(long nowNanos) {
        if (consecutiveFailures < FAILURES_TO_OPEN) {
            return true;
        }
        if (nowNanos - nextTrialNanos < 0) {
            return false;
        }
        nextTrialNanos = nowNanos + trialInterval.toNanos();
        return true;
    }

    /** Records a successful call and closes the breaker. */
    synchronized void recordSuccess() {
        consecutiveFailures = 0;
        trialInterval = MIN_TRIAL_INTERVAL;
    }

    /** Records a failed call, and opens the breaker or extends its interval if the limit is reached. */
    synchronized void recordFailure(long nowNanos) {
        consecutiveFailures++;
        if (consecutiveFailures > FAILURES_TO_OPEN) {
            Duration doubledInterval = trialInterval.multipliedBy(2);
            trialInterval = Comparators.min(doubledInterval, MAX_TRIAL_INTERVAL);
        }
        if (consecutiveFailures >= FAILURES_TO_OPEN) {
            nextTrialNanos = nowNanos + trialInterval.toNanos();
        }
    }

    /** Returns whether calls are rejected at present, except for trial calls. */
    synchronized boolean isOpen() {
        return consecutiveFailures >= FAILURES_TO_OPEN;
    }
}
