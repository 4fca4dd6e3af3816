package org.yuccagw.core.placing;

import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.port.PeerMessage;

/**
 * An endpoint stated that it fails if it has to reject too many requests. Sent to all entries that place requests.
 *
 * @param maxRejections the most requests that it can reject in a second
 * @param rejected whether it has just rejected a request
 */
public record RejectionLimitReported(EndpointIncarnation endpoint, int maxRejections, boolean rejected)
        implements PeerMessage {}
