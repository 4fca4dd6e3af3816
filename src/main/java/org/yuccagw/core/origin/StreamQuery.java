package org.yuccagw.core.origin;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;

/**
 * The stream whose origin is looked for.
 *
 * @param request the request whose answer brought the first event
 * @param onlyService the service that must have begun the stream; empty if there may be several
 * @param maxAge how long ago it may have begun
 */
public record StreamQuery(RequestId request, Optional<ServiceName> onlyService, Duration maxAge) {}
