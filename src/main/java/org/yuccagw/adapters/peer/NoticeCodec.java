package org.yuccagw.adapters.peer;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.notice.EndpointUpdate;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.wire.PeerProtocol.EndpointNewsMessage;
import org.yuccagw.wire.PeerProtocol.Envelope;

/** Encodes the states that endpoints reported in their answers, as entries broadcast them, in protobuf. */
public final class NoticeCodec implements BodyCodec {
    private NoticeCodec() {}

    public static NoticeCodec create() {
        return new NoticeCodec();
    }

    @Override
    public boolean encode(PeerMessage message, Envelope.Builder envelope) {
        if (!(message instanceof EndpointUpdate update)) {
            return false;
        }
        envelope.setEndpointNews(EndpointNewsMessage.newBuilder()
                .setEndpoint(EndpointStarts.encode(update.endpoint()))
                .setLeaving(update.leaving())
                .setBackOffMillis(update.backOff().orElse(Duration.ZERO).toMillis()));
        return true;
    }

    @Override
    public Optional<PeerMessage> decode(Envelope envelope) {
        if (!envelope.hasEndpointNews()) {
            return Optional.empty();
        }
        EndpointNewsMessage wire = envelope.getEndpointNews();
        Optional<Duration> backOff = wire.getBackOffMillis() > 0
                ? Optional.of(Duration.ofMillis(wire.getBackOffMillis()))
                : Optional.empty();
        return Optional.of(new EndpointUpdate(EndpointStarts.decode(wire.getEndpoint()), wire.getLeaving(), backOff));
    }
}
