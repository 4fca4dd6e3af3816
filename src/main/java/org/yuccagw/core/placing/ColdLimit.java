package org.yuccagw.core.placing;

import java.time.Duration;
import org.yuccagw.core.deployment.ColdTraits;

/**
 * How many requests this entry may send to a cold endpoint.
 *
 * <p>Guards against endpoints that end right after their start: one that has just come looks the emptiest of all, every
 * entry sends there, and it gets in one second what it bears in ten. When a failure domain comes back all its endpoints
 * are like that at the same time.
 *
 * <p>The bound holds for all entries together, whatever they know of each other. So it is divided into equal parts, and
 * an entry that has a part keeps it without asking anyone:
 *
 * <ol>
 *   <li>In a mesh each known entry has one, also those that have died, since one that is cut off goes on sending.
 *   <li>Where leads place, the two leads of the endpoint's failure domain have one each. A lead that hears less than
 *       half of its domain has none: the others may have chosen leads of their own.
 *   <li>An entry that decides alone in a large fleet has none, and neither has one that has just started and doesn't
 *       know the others yet.
 * </ol>
 *
 * <p>Invariant: in any {@link #SPAN} an entry sends at most its part, and all parts come to less than the bound.
 *
 * <p>Example: an endpoint that bears 10 requests a second, with an overage of 1.5 and a slack of 5, gets 18 in a span
 * from all; 9 from each of two leads; 2 from each entry of a mesh of 8, and none in one of 19.
 */
final class ColdLimit {
    /** A second, and by how much a request that was held up on its way may come closer to a later one. */
    static final Duration SPAN = Duration.ofMillis(1250);

    /** The rest is for requests whose place was given up, but which are on their way all the same. */
    private static final double SHARE_OF_BOUND = 0.9;

    private final ColdBounds bounds;

    ColdLimit(ColdBounds bounds) {
        this.bounds = bounds;
    }

    /**
     * Whether one more request may be sent now.
     *
     * @param shares into how many parts the bound is divided, 0 if this entry has none
     */
    boolean allows(EndpointState endpoint, ColdTraits traits, int shares, long nowNanos) {
        if (!traits.isBounded() || !endpoint.isCold(nowNanos)) {
            return true;
        }
        return endpoint.sentLately(nowNanos) < part(traits, shares);
    }

    /** Requests in a span. */
    int part(ColdTraits traits, int shares) {
        double bound = traits.maxRequestsPerSecond() * bounds.overage() + bounds.slack();
        return shares == 0 ? 0 : (int) (bound * SHARE_OF_BOUND / shares);
    }
}
