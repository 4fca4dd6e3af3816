package org.yuccagw.core.ratelimit;

import java.util.Optional;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.EndpointIncarnation;

/**
 * An answer of an endpoint came to this entry, and its head tells of a limit or of none.
 *
 * @param limit empty if the endpoint has none any more
 * @param foreseen whether a limit was known where the request was placed
 */
public record RateLimitHeard(EndpointIncarnation endpoint, Optional<RateLimit> limit, boolean foreseen)
        implements ControlEvent {}
