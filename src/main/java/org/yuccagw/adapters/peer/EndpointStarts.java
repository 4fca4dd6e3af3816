package org.yuccagw.adapters.peer;

import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EndpointIncarnation;
import org.yuccagw.wire.PeerProtocol.EndpointStart;

/** Maps incarnations of endpoints to protobuf and back. */
final class EndpointStarts {
    private EndpointStarts() {}

    static EndpointStart encode(EndpointIncarnation incarnation) {
        return EndpointStart.newBuilder()
                .setEndpoint(incarnation.endpoint().value())
                .setStartedMillis(incarnation.startedMillis())
                .build();
    }

    static EndpointIncarnation decode(EndpointStart wire) {
        return EndpointIncarnation.of(EndpointId.of(wire.getEndpoint()), wire.getStartedMillis());
    }
}
