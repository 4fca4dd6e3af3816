package org.yuccagw.platform;

import java.time.Duration;

/** A token bucket that holds the calls of one second. */
final class CallBudget {
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final double perSecond;
    private double tokens;
    private long lastNanos;
    private boolean started;

    private CallBudget(double perSecond) {
        this.perSecond = perSecond;
        this.tokens = perSecond;
    }

    static CallBudget of(double perSecond) {
        return new CallBudget(perSecond);
    }

    /** Takes one token if there is one. */
    synchronized boolean take(long nowNanos) {
        if (started) {
            double earned = (nowNanos - lastNanos) / NANOS_PER_SECOND * perSecond;
            tokens = Math.min(perSecond, tokens + Math.max(0, earned));
        }
        started = true;
        lastNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
