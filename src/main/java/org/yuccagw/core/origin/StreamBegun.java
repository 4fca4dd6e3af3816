package org.yuccagw.core.origin;

import java.time.Duration;
import org.yuccagw.core.control.ControlEvent;
import org.yuccagw.core.id.EndpointIncarnation;

/**
 * Raised before the first event of an answer is forwarded, also of one that goes on with an earlier stream.
 *
 * @param endpoint the start of the endpoint to which the request was sent
 * @param callerTimeout time that the caller waits for the whole answer, and within which it may take the stream up
 */
public record StreamBegun(StreamOrigin origin, EndpointIncarnation endpoint, Duration callerTimeout)
        implements ControlEvent {}
