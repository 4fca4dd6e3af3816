package org.yuccagw.core.origin;

import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;

/**
 * What began a stream.
 *
 * @param request the request whose answer brought the first event; callers name it when they take the stream up
 * @param service the service of the endpoint that sent the event
 * @param software the version of that endpoint's software
 */
public record StreamOrigin(RequestId request, ServiceName service, SoftwareVersion software) {}
