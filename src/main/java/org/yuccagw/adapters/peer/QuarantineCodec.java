package org.yuccagw.adapters.peer;

import java.time.Duration;
import java.util.List;
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
import org.yuccagw.core.quarantine.QuarantinePeerMessage.RecordsRequested;
import org.yuccagw.core.quarantine.QuarantinePeerMessage.RecordsSent;
import org.yuccagw.core.suspect.SuspectMessage;
import org.yuccagw.wire.PeerProtocol;
import org.yuccagw.wire.PeerProtocol.Envelope;
import org.yuccagw.wire.PeerProtocol.QuarantineMessage;

/** Encodes the messages about prompts that terminate endpoints in protobuf. */
public final class QuarantineCodec implements BodyCodec {
    private static final int TERMINATIONS = 0;
    private static final int PERMIT_REQUEST = 1;
    private static final int PERMIT_DECISION = 2;
    private static final int PERMIT_RELEASED = 3;
    private static final int RECORDS_REQUEST = 4;
    private static final int RECORDS_SENT = 5;

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
            wire.setKind(TERMINATIONS);
            deaths.deaths().forEach(death -> wire.addDeaths(toWire(death)));
        } else if (message instanceof PermitRequested request) {
            writePermit(wire, PERMIT_REQUEST, request.fingerprint(), request.number())
                    .setGranted(request.renewal());
        } else if (message instanceof PermitDecided decided) {
            writePermit(wire, PERMIT_DECISION, decided.fingerprint(), decided.number())
                    .setGranted(decided.granted());
        } else if (message instanceof PermitReleased released) {
            writePermit(wire, PERMIT_RELEASED, released.fingerprint(), released.number());
        } else if (message instanceof RecordsRequested) {
            wire.setKind(RECORDS_REQUEST);
        } else if (message instanceof RecordsSent sent) {
            wire.setKind(RECORDS_SENT).setComplete(sent.complete());
            sent.deaths().forEach(death -> wire.addDeaths(toWire(death)));
            sent.refusedParts().forEach(part -> wire.addRefusedParts(SuspectCodec.encode(part)));
        }
        envelope.setQuarantine(wire);
        return true;
    }

    private static QuarantineMessage.Builder writePermit(
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
        } catch (IllegalArgumentException invalid) {
            throw ErrorKind.PEER_MESSAGE_INVALID.raiseFrom(invalid, envelope.getFrom(), invalid.getMessage());
        }
    }

    private static PeerMessage read(QuarantineMessage wire) {
        PromptFingerprint fingerprint = new PromptFingerprint(wire.getFingerprint());
        return switch (wire.getKind()) {
            case TERMINATIONS -> new Deaths(deaths(wire));
            case PERMIT_REQUEST -> new PermitRequested(fingerprint, wire.getPermit(), wire.getGranted());
            case PERMIT_DECISION -> new PermitDecided(fingerprint, wire.getPermit(), wire.getGranted());
            case PERMIT_RELEASED -> new PermitReleased(fingerprint, wire.getPermit());
            case RECORDS_REQUEST -> new RecordsRequested();
            case RECORDS_SENT -> new RecordsSent(deaths(wire), refusedParts(wire), wire.getComplete());
            default -> throw new IllegalArgumentException("quarantine message of unknown kind " + wire.getKind());
        };
    }

    private static List<Death> deaths(QuarantineMessage wire) {
        return wire.getDeathsList().stream().map(QuarantineCodec::fromWire).toList();
    }

    private static List<SuspectMessage.Refused> refusedParts(QuarantineMessage wire) {
        return wire.getRefusedPartsList().stream().map(SuspectCodec::decode).toList();
    }

    private static Death fromWire(PeerProtocol.Death wire) {
        if (wire.getAgeMillis() < 0) {
            throw new IllegalArgumentException("the age of an endpoint termination is negative");
        }
        return new Death(
                new PromptFingerprint(wire.getFingerprint()),
                EndpointId.of(wire.getEndpoint()),
                wire.getIncarnation(),
                Duration.ofMillis(wire.getAgeMillis()));
    }
}
