package org.yuccagw.adapters.peer;

import java.util.Optional;
import org.yuccagw.core.notice.RateLimit;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.core.ratelimit.RateLimitNews;
import org.yuccagw.wire.PeerProtocol.Envelope;
import org.yuccagw.wire.PeerProtocol.RateLimitMessage;

/** What entries tell each other of rate limits of endpoints, in protobuf. */
public final class RateLimitCodec implements BodyCodec {
    private RateLimitCodec() {}

    public static RateLimitCodec create() {
        return new RateLimitCodec();
    }

    @Override
    public boolean encode(PeerMessage message, Envelope.Builder envelope) {
        if (!(message instanceof RateLimitNews news)) {
            return false;
        }
        envelope.setRateLimit(RateLimitMessage.newBuilder()
                .setEndpoint(EndpointStarts.encode(news.endpoint()))
                .setLimited(news.limit().isPresent())
                .setPerSecond(news.limit().map(RateLimit::perSecond).orElse(0.0))
                .setAgeMillis(news.ageMillis()));
        return true;
    }

    @Override
    public Optional<PeerMessage> decode(Envelope envelope) {
        if (!envelope.hasRateLimit()) {
            return Optional.empty();
        }
        RateLimitMessage wire = envelope.getRateLimit();
        Optional<RateLimit> limit = wire.getLimited() ? RateLimit.of(wire.getPerSecond()) : Optional.empty();
        return Optional.of(new RateLimitNews(EndpointStarts.decode(wire.getEndpoint()), limit, wire.getAgeMillis()));
    }
}
