package org.yuccagw.core.placing;

import java.util.Optional;
import java.util.OptionalLong;
import org.yuccagw.core.fleet.ListedEndpoint;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.SoftwareVersion;

/**
 * What the part of an answer that its caller has received requires of the endpoint that goes on with it.
 *
 * @param weights weight version with which the answer started; empty if it hasn't, or for any
 * @param begunBy request whose answer brought the first event; empty if the caller has received none
 * @param software software version of that event, once it is known
 */
public record StreamContinuation(
        OptionalLong weights, Optional<RequestId> begunBy, Optional<SoftwareVersion> software) {
    /** The caller has received nothing, so that any endpoint may answer. */
    public static final StreamContinuation NONE = of(OptionalLong.empty(), Optional.empty());

    /** Returns the continuation of an answer whose software version hasn't been found yet. */
    public static StreamContinuation of(OptionalLong weights, Optional<RequestId> begunBy) {
        return new StreamContinuation(weights, begunBy, Optional.empty());
    }

    /** Returns the same continuation with the software version that began the stream. */
    StreamContinuation withSoftware(SoftwareVersion found) {
        return new StreamContinuation(weights, begunBy, Optional.of(found));
    }

    /** Returns whether the software version that began the stream must be found before the request is placed. */
    boolean isUnresolved() {
        return begunBy.isPresent() && software.isEmpty();
    }

    /** Returns whether the software of the endpoint may go on with the stream. */
    boolean permits(ListedEndpoint endpoint) {
        return !isUnresolved() && software.map(endpoint.software()::equals).orElse(true);
    }
}
