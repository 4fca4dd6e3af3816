package org.yuccagw.core.ratelimit;

import com.google.common.collect.Comparators;
import java.time.Duration;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.notice.NoticesComponent;

/**
 * Limits the calls of this entry to endpoints that don't serve a caller's request, such as those for cache events or
 * for the state of engines.
 */
public final class InternalCalls {
    private final RateLimitsComponent rateLimits;
    private final NoticesComponent notices;

    private InternalCalls(EndpointConstraints constraints) {
        this.rateLimits = constraints.rateLimits();
        this.notices = constraints.notices();
    }

    /** Creates the limiter from the constraints that endpoints requested. */
    public static InternalCalls of(EndpointConstraints constraints) {
        return new InternalCalls(constraints);
    }

    /** Returns whether the endpoint accepts so few calls that all are needed for requests. */
    public boolean isRestricted(EndpointIncarnation endpoint) {
        return rateLimits.isLimited(endpoint) || notices.isBackingOff(endpoint);
    }

    /** Returns whether the endpoint accepts an internal call now that can't be delayed for long. */
    public boolean allowsCall(EndpointIncarnation endpoint) {
        return notices.allowsInternalCall(endpoint);
    }

    /** Returns the minimum time between a call and the next one. */
    public Duration minInterval(EndpointIncarnation endpoint) {
        return Comparators.max(rateLimits.minInternalCallInterval(endpoint), notices.remainingBackOff(endpoint));
    }

    /** Records that a call is made now. */
    public void recordCall(EndpointIncarnation endpoint) {
        rateLimits.recordInternalCall(endpoint);
        notices.recordInternalCall(endpoint);
    }
}
