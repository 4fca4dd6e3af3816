package org.yuccagw.adapters.peer;

import java.util.Optional;
import org.yuccagw.core.notice.RateLimit;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.core.ratelimit.RateLimitUpdate;
import org.yuccagw.wire.PeerProtocol.Envelope;
import org.yuccagw.wire.PeerProtocol.RateLimitMessage;

/** Encodes the rate limits of endpoints, as entries broadcast them, in protobuf. */
public final class RateLimitCodec implements BodyCodec {
    private RateLimitCodec() {}

    public static RateLimitCodec create() {
        return new RateLimitCodec();
    }

    @Override
    public boolean encode(PeerMessage message, Envelope.Builder envelope) {
        if (!(message instanceof RateLimitUpdate update)) {
            return false;
        }
        envelope.setRateLimit(RateLimitMessage.newBuilder()
                .setEndpoint(EndpointStarts.encode(update.endpoint()))
                .setLimited(update.limit().isPresent())
                .setPerSecond(update.limit().map(RateLimit::perSecond).orElse(0.0))
                .setAgeMillis(update.ageMillis()));
        return true;
    }

    @Override
    public Optional<PeerMessage> decode(Envelope envelope) {
        if (!envelope.hasRateLimit()) {
            return Optional.empty();
        }
        RateLimitMessage wire = envelope.getRateLimit();
        Optional<RateLimit> limit = wire.getLimited() ? RateLimit.of(wire.getPerSecond()) : Optional.empty();
        return Optional.of(new RateLimitUpdate(EndpointStarts.decode(wire.getEndpoint()), limit, wire.getAgeMillis()));
    }
}
