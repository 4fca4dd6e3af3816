package org.yuccagw.core.notice;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.port.PeerMessage;

/**
 * The state of an endpoint as reported in an answer to the sending entry.
 *
 * @param leaving whether the endpoint is leaving
 * @param backOff the back-off that it requested of the sending entry; empty if it requested none
 */
public record EndpointUpdate(EndpointIncarnation endpoint, boolean leaving, Optional<Duration> backOff)
        implements PeerMessage {}
