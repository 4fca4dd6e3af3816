package org.yuccagw.core.endpoint;

import com.google.common.collect.ImmutableList;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.port.PeerMessage;

/** Observations of endpoints that one entry forwards to the others before they make the same observation themselves. */
public record EndpointSightings(ImmutableList<Leaving> leaving) implements PeerMessage {
    /** This incarnation of the endpoint is leaving: it accepts no new work any more. This is final. */
    public record Leaving(EndpointId endpoint, long incarnation) {}
}
