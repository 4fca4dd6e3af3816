package org.yuccagw.adapters.peer;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.yuccagw.core.endpoint.EndpointSightings;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.wire.PeerProtocol.EndpointMessage;
import org.yuccagw.wire.PeerProtocol.EndpointSighting;
import org.yuccagw.wire.PeerProtocol.Envelope;

/** Encodes the messages of the endpoints component in protobuf. */
public final class EndpointSightingsCodec implements BodyCodec {
    private EndpointSightingsCodec() {}

    public static EndpointSightingsCodec of() {
        return new EndpointSightingsCodec();
    }

    @Override
    public boolean encode(PeerMessage message, Envelope.Builder envelope) {
        if (!(message instanceof EndpointSightings sightings)) {
            return false;
        }
        EndpointMessage.Builder body = EndpointMessage.newBuilder();
        for (EndpointSightings.Leaving leaving : sightings.leaving()) {
            body.addSightings(EndpointSighting.newBuilder()
                    .setEndpoint(leaving.endpoint().value())
                    .setIncarnation(leaving.incarnation())
                    .setLeaving(true));
        }
        envelope.setEndpoint(body);
        return true;
    }

    @Override
    public Optional<PeerMessage> decode(Envelope envelope) throws YuccagwException {
        if (!envelope.hasEndpoint()) {
            return Optional.empty();
        }
        ImmutableList.Builder<EndpointSightings.Leaving> leaving = ImmutableList.builder();
        for (EndpointSighting sighting : envelope.getEndpoint().getSightingsList()) {
            if (sighting.getEndpoint().isBlank()) {
                throw ErrorKind.PEER_MESSAGE_INVALID.raise(
                        envelope.getFrom(), "endpoint sighting without an endpoint id");
            }
            if (sighting.getLeaving()) {
                leaving.add(new EndpointSightings.Leaving(
                        EndpointId.of(sighting.getEndpoint()), sighting.getIncarnation()));
            }
        }
        return Optional.of(new EndpointSightings(leaving.build()));
    }
}
