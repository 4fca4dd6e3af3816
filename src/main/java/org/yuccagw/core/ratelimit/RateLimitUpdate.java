package org.yuccagw.core.ratelimit;

import java.util.Optional;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.notice.RateLimit;
import org.yuccagw.core.port.PeerMessage;

/**
 * What answers of an endpoint told the sending entry of its limit.
 *
 * @param limit empty if it has none any more
 * @param ageMillis since the answer, in milliseconds
 */
public record RateLimitUpdate(EndpointIncarnation endpoint, Optional<RateLimit> limit, long ageMillis)
        implements PeerMessage {}
