package org.yuccagw.core.placing;

import java.time.Duration;
import org.yuccagw.core.deployment.ColdTraits;

/**
 * Limits the requests that this entry sends to a cold endpoint.
 *
 * <p>Guards against endpoints that fail right after their start. A newly started endpoint has the least load of all, so
 * every entry sends requests there, and within one second it receives what it can accept in ten. When a failure domain
 * returns, all its endpoints are in this state at the same time.
 *
 * <p>The limit applies to all entries together, whatever they know of each other. It is divided into equal shares, and
 * an entry enforces its own share without coordination:
 *
 * <ol>
 *   <li>In a mesh each known entry has one share. Failed entries keep theirs, since an entry that is only cut off
 *       continues to send.
 *   <li>Where leads place requests, the two leads of the endpoint's failure domain have one share each. A lead that
 *       receives heartbeats from less than half of its domain has none, because the other entries may have elected
 *       other leads.
 *   <li>An entry that decides alone in a large fleet has no share, and neither has a newly started entry that doesn't
 *       know the others yet.
 * </ol>
 *
 * <p>Invariant: in any {@link #WINDOW} an entry sends at most its share, and the sum of all shares is less than the
 * limit.
 *
 * <p>Example: an endpoint with a capacity of 10 requests per second, an overage of 1.5 and a slack of 5 receives at
 * most 18 requests per window in total: 9 from each of two leads, or 2 from each entry of a mesh of 8. In a mesh of 19
 * each share is zero.
 */
final class ColdEndpointLimit {
    /** One second, plus the delay by which an earlier request may arrive closer to a later one. */
    static final Duration WINDOW = Duration.ofMillis(1250);

    /** The rest is reserved for requests whose placement was returned but that are still in flight. */
    private static final double SHARE_OF_LIMIT = 0.9;

    private final ColdBounds bounds;

    ColdEndpointLimit(ColdBounds bounds) {
        this.bounds = bounds;
    }

    /**
     * Returns whether one more request may be sent now.
     *
     * @param shares number of shares into which the limit is divided; 0 if this entry has none
     */
    boolean allows(EndpointState endpoint, ColdTraits traits, int shares, long nowNanos) {
        if (!traits.isBounded() || !endpoint.isCold(nowNanos)) {
            return true;
        }
        return endpoint.recentlySentCount(nowNanos) < requestsPerShare(traits, shares);
    }

    /** Returns the requests per window that one share permits. */
    int requestsPerShare(ColdTraits traits, int shares) {
        double limit = traits.perSecond() * bounds.overage() + bounds.slack();
        return shares == 0 ? 0 : (int) (limit * SHARE_OF_LIMIT / shares);
    }
}
