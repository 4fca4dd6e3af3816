package org.yuccagw.core.admission;

import java.time.Duration;
import org.yuccagw.core.admission.SharePeerMessage.Grant;
import org.yuccagw.core.catalogue.Limits;

/**
 * The share of the limits of one workspace or service that this entry may use, and its current use.
 *
 * <p>While the newest grant is valid, it defines the share. After it has expired because the owner does not answer, the
 * entry continues with the smaller of the granted share and {@code limit / entries}. Thus an outage of the key-value
 * service, during which no new owner can take over, does not block a workspace, and the limit still holds because the
 * last granted shares did not exceed it together. An entry that never had a share, or that returned it, uses nothing.
 */
final class ShareBorrower {
    private static final long IDLE_TIMEOUT_NANOS = Duration.ofSeconds(2).toNanos();

    private final TokenBucket requestBucket;
    private final TokenBucket tokenBucket;
    private Limits limits;
    private Share granted = Share.none();
    private long grantExpiryNanos;
    private long epoch;
    private long sequence;
    private long oldestPendingRequestNanos = Long.MAX_VALUE;
    private int running;
    private int waiting;
    private int entryCount = 1;
    private long lastBusyNanos;
    private long lastShareRequestNanos;

    ShareBorrower(Limits limits, long nowNanos) {
        this.limits = limits;
        this.requestBucket = new TokenBucket(nowNanos);
        this.tokenBucket = new TokenBucket(nowNanos);
        this.lastBusyNanos = nowNanos;
        this.lastShareRequestNanos = Long.MIN_VALUE / 2;
    }

    /** Returns the maximum share that an entry uses without a valid grant, while the owner is unreachable. */
    static Share fallback(Limits limits, int entryCount) {
        Share all = Share.ofAll(limits);
        int concurrent = all.concurrent() == Integer.MAX_VALUE ? Integer.MAX_VALUE : all.concurrent() / entryCount;
        return new Share(concurrent, 1.0 / entryCount);
    }

    void setLimits(Limits newLimits) {
        limits = newLimits;
    }

    void setEntryCount(int count) {
        entryCount = Math.max(1, count);
    }

    boolean isLimited() {
        return limits.concurrentRequests() > 0 || limits.requestsPerSecond() > 0 || limits.tokensPerSecond() > 0;
    }

    Share share(long nowNanos) {
        return nowNanos < grantExpiryNanos ? granted : granted.atMost(fallback(limits, entryCount));
    }

    /** Records that a share request is sent. The lifetime of its grant starts at the oldest unanswered request. */
    void recordShareRequest(long nowNanos) {
        oldestPendingRequestNanos = Math.min(oldestPendingRequestNanos, nowNanos);
        lastShareRequestNanos = nowNanos;
    }

    /** Applies a grant, and returns true, unless no share request is pending or a newer grant was applied before. */
    boolean applyGrant(Grant grant, long nowNanos) {
        boolean newer = grant.epoch() > epoch || (grant.epoch() == epoch && grant.sequence() > sequence);
        if (!newer || oldestPendingRequestNanos == Long.MAX_VALUE) {
            return false;
        }
        epoch = grant.epoch();
        sequence = grant.sequence();
        granted = grant.share();
        grantExpiryNanos = oldestPendingRequestNanos + grant.lifetime().toNanos();
        oldestPendingRequestNanos = Long.MAX_VALUE;
        updateRates(nowNanos);
        return true;
    }

    private void updateRates(long nowNanos) {
        double fraction = share(nowNanos).fraction();
        requestBucket.setRate(limits.requestsPerSecond() * fraction, nowNanos);
        tokenBucket.setRate(limits.tokensPerSecond() * fraction, nowNanos);
    }

    boolean permits(long nowNanos) {
        if (!isLimited()) {
            return true;
        }
        updateRates(nowNanos);
        boolean requestsLeft = limits.requestsPerSecond() == 0 || requestBucket.allows(nowNanos);
        boolean tokensLeft = limits.tokensPerSecond() == 0 || tokenBucket.allows(nowNanos);
        boolean concurrencyLeft =
                limits.concurrentRequests() == 0 || running < share(nowNanos).concurrent();
        return concurrencyLeft && requestsLeft && tokensLeft;
    }

    /** Returns the time in ns since the oldest unanswered share request, 0 if there is none. */
    long pendingShareRequestNanos(long nowNanos) {
        return oldestPendingRequestNanos == Long.MAX_VALUE ? 0 : nowNanos - oldestPendingRequestNanos;
    }

    long sinceLastShareRequestNanos(long nowNanos) {
        return nowNanos - lastShareRequestNanos;
    }

    void consume(long costTokens) {
        running++;
        requestBucket.consume(1);
        tokenBucket.consume((double) costTokens);
    }

    void release(long costTokens, long usedTokens) {
        running--;
        tokenBucket.refund((double) (costTokens - usedTokens));
    }

    void addWaiting(int change) {
        waiting += change;
    }

    /**
     * Predicts the time in seconds until one more request would be admitted under these limits.
     *
     * @param meanRunSeconds mean run time of a request, 0 if unknown
     * @param meanCostTokens mean cost of a waiting request in tokens
     */
    double secondsUntilAdmitted(double meanRunSeconds, double meanCostTokens, long nowNanos) {
        if (!isLimited() || (waiting == 0 && permits(nowNanos))) {
            return 0;
        }
        updateRates(nowNanos);
        Share share = share(nowNanos);
        double seconds = 0;
        if (limits.concurrentRequests() > 0 && share.concurrent() > 0) {
            double excess = Math.max(0, running + waiting + 1 - share.concurrent());
            seconds = excess * meanRunSeconds / share.concurrent();
        }
        if (limits.requestsPerSecond() > 0 && share.fraction() > 0) {
            seconds = Math.max(seconds, requestBucket.secondsUntilAllowed(waiting, nowNanos));
        }
        if (limits.tokensPerSecond() > 0 && share.fraction() > 0) {
            seconds = Math.max(seconds, tokenBucket.secondsUntilAllowed(waiting * meanCostTokens, nowNanos));
        }
        return seconds;
    }

    boolean hasShare(long nowNanos) {
        Share share = share(nowNanos);
        boolean hasConcurrency = limits.concurrentRequests() == 0 || share.concurrent() > 0;
        return hasConcurrency && share.fraction() > 0;
    }

    /** Returns whether a share request must be sent: there is demand, a share to return, or an unanswered request. */
    boolean needsRenewal() {
        return running + waiting > 0 || !granted.equals(Share.none()) || oldestPendingRequestNanos != Long.MAX_VALUE;
    }

    private boolean isIdle(long nowNanos) {
        if (running + waiting > 0) {
            lastBusyNanos = nowNanos;
        }
        return nowNanos - lastBusyNanos >= IDLE_TIMEOUT_NANOS;
    }

    /**
     * Returns the maximum share that the entry uses until the next grant. An idle entry drops its share and returns an
     * empty one.
     *
     * <p>All running requests count, even if they exceed a share that has become smaller since. They are not
     * interrupted, so their part of the limit cannot be lent to another entry before they end. When only the share was
     * counted, two entries together exceeded the limit for as long as those requests ran.
     */
    Share heldShare(long nowNanos) {
        if (isIdle(nowNanos)) {
            granted = Share.none();
        }
        return share(nowNanos).atLeast(new Share(running, 0));
    }

    int running() {
        return running;
    }

    /**
     * Returns the number of running and waiting requests. For an entry that was busy until recently the demand is at
     * least 1, so that it keeps a share for its next request.
     */
    int demand(long nowNanos) {
        return isIdle(nowNanos) ? 0 : Math.max(1, running + waiting);
    }

    long epoch() {
        return epoch;
    }

    long sequence() {
        return sequence;
    }
}
