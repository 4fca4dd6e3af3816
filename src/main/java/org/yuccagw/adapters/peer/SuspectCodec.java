package org.yuccagw.adapters.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.core.suspect.LostAttempt;
import org.yuccagw.core.suspect.SuspectMessage;
import org.yuccagw.core.suspect.SuspectPart;
import org.yuccagw.wire.PeerProtocol;
import org.yuccagw.wire.PeerProtocol.Envelope;
import org.yuccagw.wire.PeerProtocol.LostAttemptMessage;
import org.yuccagw.wire.PeerProtocol.RefusedPartMessage;
import org.yuccagw.wire.PeerProtocol.SuspectPartMessage;

/** Encodes the messages about parts of prompts that make endpoints crash in protobuf. */
public final class SuspectCodec implements BodyCodec {
    private SuspectCodec() {}

    public static SuspectCodec create() {
        return new SuspectCodec();
    }

    @Override
    public boolean encode(PeerMessage message, Envelope.Builder envelope) {
        if (!(message instanceof SuspectMessage suspect)) {
            return false;
        }
        PeerProtocol.SuspectMessage.Builder wire = PeerProtocol.SuspectMessage.newBuilder();
        if (suspect instanceof SuspectMessage.CrashReported reported) {
            wire.setCrashed(EndpointStarts.encode(reported.endpoint()));
            reported.attempts().forEach(attempt -> wire.addLostAttempts(encode(attempt)));
        } else if (suspect instanceof SuspectMessage.PartsCleared answered) {
            answered.parts().forEach(part -> wire.addCleared(encode(part)));
        } else if (suspect instanceof SuspectMessage.PartsRefused refused) {
            refused.parts().forEach(part -> wire.addRefused(encode(part)));
        }
        envelope.setSuspect(wire);
        return true;
    }

    private static LostAttemptMessage encode(LostAttempt attempt) {
        LostAttemptMessage.Builder wire = LostAttemptMessage.newBuilder()
                .setSentAgeMillis(attempt.sentAge().toMillis())
                .setCrashAgeMillis(attempt.crashAge().toMillis());
        attempt.parts().forEach(part -> wire.addParts(encode(part)));
        return wire.build();
    }

    private static SuspectPartMessage encode(SuspectPart part) {
        return SuspectPartMessage.newBuilder()
                .setModel(part.model())
                .setPart(part.part())
                .build();
    }

    static RefusedPartMessage encode(SuspectMessage.Refused refused) {
        return RefusedPartMessage.newBuilder()
                .setPart(encode(refused.part()))
                .setCrashes(refused.crashes())
                .setAgeMillis(refused.age().toMillis())
                .setIdleMillis(refused.idle().toMillis())
                .build();
    }

    @Override
    public Optional<PeerMessage> decode(Envelope envelope) {
        if (!envelope.hasSuspect()) {
            return Optional.empty();
        }
        PeerProtocol.SuspectMessage wire = envelope.getSuspect();
        if (wire.hasCrashed()) {
            ImmutableList<LostAttempt> attempts = wire.getLostAttemptsList().stream()
                    .map(SuspectCodec::decode)
                    .collect(ImmutableList.toImmutableList());
            return Optional.of(new SuspectMessage.CrashReported(EndpointStarts.decode(wire.getCrashed()), attempts));
        }
        if (wire.getRefusedCount() > 0) {
            return Optional.of(new SuspectMessage.PartsRefused(
                    wire.getRefusedList().stream().map(SuspectCodec::decode).collect(ImmutableList.toImmutableList())));
        }
        return Optional.of(new SuspectMessage.PartsCleared(
                wire.getClearedList().stream().map(SuspectCodec::decode).collect(ImmutableSet.toImmutableSet())));
    }

    private static LostAttempt decode(LostAttemptMessage wire) {
        return new LostAttempt(
                wire.getPartsList().stream().map(SuspectCodec::decode).collect(ImmutableSet.toImmutableSet()),
                age(wire.getSentAgeMillis()),
                age(wire.getCrashAgeMillis()));
    }

    private static SuspectPart decode(SuspectPartMessage wire) {
        return new SuspectPart(wire.getModel(), wire.getPart());
    }

    static SuspectMessage.Refused decode(RefusedPartMessage wire) {
        return new SuspectMessage.Refused(
                decode(wire.getPart()),
                Math.max(1, wire.getCrashes()),
                age(wire.getAgeMillis()),
                age(wire.getIdleMillis()));
    }

    private static Duration age(long millis) {
        return Duration.ofMillis(Math.max(0, millis));
    }
}
