package org.yuccagw.adapters.peer;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.fleet.ModelWeights;
import org.yuccagw.core.follow.NamingMessage;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.wire.PeerProtocol;
import org.yuccagw.wire.PeerProtocol.Envelope;

/** Encodes the messages about when weights were named in protobuf. */
public final class NamingCodec implements BodyCodec {
    /** Longer than any limit that runs from a naming. */
    private static final Duration MAX_AGE = Duration.ofDays(1);

    private NamingCodec() {}

    public static NamingCodec create() {
        return new NamingCodec();
    }

    @Override
    public boolean encode(PeerMessage message, Envelope.Builder envelope) {
        if (message instanceof NamingMessage.Question question) {
            envelope.setNaming(encode(question.weights(), question.round()));
            return true;
        }
        if (message instanceof NamingMessage.Age age) {
            PeerProtocol.NamingAgeMessage.Builder wire = PeerProtocol.NamingAgeMessage.newBuilder()
                    .setMinAgeMillis(age.minAge().toMillis());
            age.maxAge().ifPresent(maxAge -> wire.setMaxAgeKnown(true).setMaxAgeMillis(maxAge.toMillis() + 1));
            envelope.setNaming(encode(age.weights(), age.round()).setAge(wire));
            return true;
        }
        return false;
    }

    private static PeerProtocol.NamingMessage.Builder encode(ModelWeights weights, int round) {
        return PeerProtocol.NamingMessage.newBuilder()
                .setModel(weights.model())
                .setVersion(weights.version())
                .setRound(round);
    }

    @Override
    public Optional<PeerMessage> decode(Envelope envelope) {
        if (!envelope.hasNaming()) {
            return Optional.empty();
        }
        PeerProtocol.NamingMessage wire = envelope.getNaming();
        ModelWeights weights = new ModelWeights(wire.getModel(), wire.getVersion());
        if (!wire.hasAge()) {
            return Optional.of(new NamingMessage.Question(weights, wire.getRound()));
        }
        PeerProtocol.NamingAgeMessage age = wire.getAge();
        Optional<Duration> maxAge = age.getMaxAgeKnown() ? Optional.of(age(age.getMaxAgeMillis())) : Optional.empty();
        return Optional.of(new NamingMessage.Age(weights, wire.getRound(), maxAge, age(age.getMinAgeMillis())));
    }

    private static Duration age(long millis) {
        return Duration.ofMillis(Math.min(MAX_AGE.toMillis(), Math.max(0, millis)));
    }
}
