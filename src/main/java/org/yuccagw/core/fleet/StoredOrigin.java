package org.yuccagw.core.fleet;

import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;

/**
 * What began a stream, in the form in which it is kept in the key-value service.
 *
 * @param requestHash 64-bit hash of the request whose answer brought the first event
 * @param service the service of the endpoint that sent the event
 * @param software the version of that endpoint's software
 */
public record StoredOrigin(long requestHash, ServiceName service, SoftwareVersion software) {}
