package org.yuccagw.core.ratelimit;

import com.google.common.collect.Comparators;
import java.time.Duration;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.notice.NoticesComponent;

/** Calls of this entry to endpoints that are no caller's requests, such as for cache events or the state of engines. */
public final class InternalCalls {
    private final RateLimitsComponent rateLimits;
    private final NoticesComponent notices;

    private InternalCalls(EndpointConstraints constraints) {
        this.rateLimits = constraints.rateLimits();
        this.notices = constraints.notices();
    }

    /** Calls within what endpoints ask for. */
    public static InternalCalls of(EndpointConstraints constraints) {
        return new InternalCalls(constraints);
    }

    /** Whether the endpoint asks for so few calls that all are needed for requests. */
    public boolean asksForFewer(EndpointIncarnation endpoint) {
        return rateLimits.isLimited(endpoint) || notices.backsOff(endpoint);
    }

    /** Whether the endpoint bears a call now that can't wait for long. */
    public boolean mayMake(EndpointIncarnation endpoint) {
        return notices.bearsCall(endpoint);
    }

    /** How long after a call the next one has to wait. */
    public Duration apart(EndpointIncarnation endpoint) {
        return Comparators.max(rateLimits.betweenCalls(endpoint), notices.backOffLeft(endpoint));
    }

    /** Notes that a call is made now. */
    public void made(EndpointIncarnation endpoint) {
        rateLimits.sendsCall(endpoint);
        notices.sendsCall(endpoint);
    }
}
