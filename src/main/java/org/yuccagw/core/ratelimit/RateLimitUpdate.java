package org.yuccagw.core.ratelimit;

import java.util.Optional;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.notice.RateLimit;
import org.yuccagw.core.port.PeerMessage;

/**
 * The rate limit of an endpoint as learned by the sending entry from its answers.
 *
 * @param limit empty if the endpoint no longer has one
 * @param ageMillis time since the answer, in milliseconds
 */
public record RateLimitUpdate(EndpointIncarnation endpoint, Optional<RateLimit> limit, long ageMillis)
        implements PeerMessage {}
