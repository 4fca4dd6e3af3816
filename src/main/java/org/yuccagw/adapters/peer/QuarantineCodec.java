package org.yuccagw.adapters.peer;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.core.quarantine.PromptFingerprint;
import org.yuccagw.core.quarantine.QuarantinePeerMessage;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.Death;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.Deaths;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.PermitDecided;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.PermitReleased;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.PermitRequested;
import org.yuccagw.wire.PeerProtocol;
import org.yuccagw.wire.PeerProtocol.Envelope;
import org.yuccagw.wire.PeerProtocol.QuarantineMessage;

/** Messages about prompts that end endpoints in protobuf. */
public final class QuarantineCodec implements BodyCodec {
    private static final int DEATHS = 0;
    private static final int PERMIT_ASKED = 1;
    private static final int PERMIT_DECIDED = 2;
    private static final int PERMIT_GIVEN_BACK = 3;

    private QuarantineCodec() {}

    public static QuarantineCodec of() {
        return new QuarantineCodec();
    }

    @Override
    public boolean encode(PeerMessage message, Envelope.Builder envelope) {
        if (!(message instanceof QuarantinePeerMessage)) {
            return false;
        }
        QuarantineMessage.Builder wire = QuarantineMessage.newBuilder();
        if (message instanceof Deaths deaths) {
            wire.setKind(DEATHS);
            deaths.deaths().forEach(death -> wire.addDeaths(toWire(death)));
        } else if (message instanceof PermitRequested asked) {
            put(wire, PERMIT_ASKED, asked.fingerprint(), asked.number()).setGranted(asked.renewal());
        } else if (message instanceof PermitDecided decided) {
            put(wire, PERMIT_DECIDED, decided.fingerprint(), decided.number()).setGranted(decided.granted());
        } else if (message instanceof PermitReleased back) {
            put(wire, PERMIT_GIVEN_BACK, back.fingerprint(), back.number());
        }
        envelope.setQuarantine(wire);
        return true;
    }

    private static QuarantineMessage.Builder put(
            QuarantineMessage.Builder wire, int kind, PromptFingerprint fingerprint, long number) {
        return wire.setKind(kind).setFingerprint(fingerprint.value()).setPermit(number);
    }

    private static PeerProtocol.Death toWire(Death death) {
        return PeerProtocol.Death.newBuilder()
                .setFingerprint(death.fingerprint().value())
                .setEndpoint(death.endpoint().value())
                .setIncarnation(death.incarnation())
                .setAgeMillis(death.age().toMillis())
                .build();
    }

    @Override
    public Optional<PeerMessage> decode(Envelope envelope) throws YuccagwException {
        if (!envelope.hasQuarantine()) {
            return Optional.empty();
        }
        try {
            return Optional.of(read(envelope.getQuarantine()));
        } catch (IllegalArgumentException wrong) {
            throw ErrorKind.PEER_MESSAGE_INVALID.raiseFrom(wrong, envelope.getFrom(), wrong.getMessage());
        }
    }

    private static PeerMessage read(QuarantineMessage wire) {
        PromptFingerprint fingerprint = new PromptFingerprint(wire.getFingerprint());
        return switch (wire.getKind()) {
            case DEATHS ->
                new Deaths(wire.getDeathsList().stream()
                        .map(QuarantineCodec::fromWire)
                        .toList());
            case PERMIT_ASKED -> new PermitRequested(fingerprint, wire.getPermit(), wire.getGranted());
            case PERMIT_DECIDED -> new PermitDecided(fingerprint, wire.getPermit(), wire.getGranted());
            case PERMIT_GIVEN_BACK -> new PermitReleased(fingerprint, wire.getPermit());
            default -> throw new IllegalArgumentException("quarantine message of unknown kind " + wire.getKind());
        };
    }

    private static Death fromWire(PeerProtocol.Death wire) {
        if (wire.getAgeMillis() < 0) {
            throw new IllegalArgumentException("a death lies in the future");
        }
        return new Death(
                new PromptFingerprint(wire.getFingerprint()),
                EndpointId.of(wire.getEndpoint()),
                wire.getIncarnation(),
                Duration.ofMillis(wire.getAgeMillis()));
    }
}
