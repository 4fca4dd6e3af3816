package org.yuccagw.core.notice;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.core.port.PeerMessage;

/**
 * What an endpoint said of itself in an answer to the sending entry.
 *
 * @param leaving whether it leaves
 * @param backOff how long it wants nothing from the sending entry
 */
public record EndpointUpdate(EndpointIncarnation endpoint, boolean leaving, Optional<Duration> backOff)
        implements PeerMessage {}
