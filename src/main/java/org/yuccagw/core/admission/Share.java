package org.yuccagw.core.admission;

import org.yuccagw.core.catalogue.Limits;

/**
 * The part of the limits of a workspace or service that one entry may use.
 *
 * @param concurrent maximum number of concurrent requests
 * @param fraction fraction of the rate limits, from 0 to 1
 */
public record Share(int concurrent, double fraction) {
    private static final Share NONE = new Share(0, 0);

    /** Returns a share that permits no requests. */
    public static Share none() {
        return NONE;
    }

    /** Returns a share of all of the limits. A concurrency limit of 0 means unlimited. */
    static Share ofAll(Limits limits) {
        return new Share(limits.concurrentRequests() == 0 ? Integer.MAX_VALUE : limits.concurrentRequests(), 1);
    }

    Share plus(Share other) {
        return new Share(saturatedSum(concurrent, other.concurrent), fraction + other.fraction);
    }

    private static int saturatedSum(int left, int right) {
        return (int) Math.min(Integer.MAX_VALUE, (long) left + right);
    }

    /** Returns the componentwise minimum of both shares. */
    Share atMost(Share other) {
        return new Share(Math.min(concurrent, other.concurrent), Math.min(fraction, other.fraction));
    }

    /** Returns the componentwise maximum of both shares. */
    Share atLeast(Share other) {
        return new Share(Math.max(concurrent, other.concurrent), Math.max(fraction, other.fraction));
    }

    /** Returns this share reduced by the other, with negative values replaced by 0. */
    Share minus(Share other) {
        return new Share(Math.max(0, concurrent - other.concurrent), Math.max(0, fraction - other.fraction));
    }
}
