package org.yuccagw.adapters.peer;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.origin.OriginMessage;
import org.yuccagw.core.origin.StreamOrigin;
import org.yuccagw.core.origin.StreamQuery;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.wire.PeerProtocol;
import org.yuccagw.wire.PeerProtocol.AskOriginMessage;
import org.yuccagw.wire.PeerProtocol.Envelope;
import org.yuccagw.wire.PeerProtocol.KeepOriginsMessage;
import org.yuccagw.wire.PeerProtocol.KeptOrigin;
import org.yuccagw.wire.PeerProtocol.OriginAnswerMessage;

/** Encodes the messages about the origins of streams in protobuf. */
public final class OriginCodec implements BodyCodec {
    private OriginCodec() {}

    public static OriginCodec create() {
        return new OriginCodec();
    }

    @Override
    public boolean encode(PeerMessage message, Envelope.Builder envelope) {
        if (!(message instanceof OriginMessage origin)) {
            return false;
        }
        PeerProtocol.OriginMessage.Builder wire = PeerProtocol.OriginMessage.newBuilder();
        if (origin instanceof OriginMessage.Keep keep) {
            KeepOriginsMessage.Builder kept = KeepOriginsMessage.newBuilder();
            keep.records().forEach(record -> kept.addRecords(encode(record)));
            wire.setKeep(kept);
        } else if (origin instanceof OriginMessage.Ask ask) {
            StreamQuery query = ask.query();
            wire.setAsk(AskOriginMessage.newBuilder()
                    .setNumber(ask.number())
                    .setRequest(query.request().value())
                    .setOnlyService(query.onlyService().map(ServiceName::value).orElse(""))
                    .setMaxAgeMillis(query.maxAge().toMillis()));
        } else if (origin instanceof OriginMessage.Answer answer) {
            OriginAnswerMessage.Builder answered =
                    OriginAnswerMessage.newBuilder().setNumber(answer.number());
            answer.record().ifPresent(record -> answered.setRecord(encode(record)));
            wire.setAnswer(answered);
        }
        envelope.setOrigin(wire);
        return true;
    }

    private static KeptOrigin encode(OriginMessage.Kept kept) {
        return KeptOrigin.newBuilder()
                .setRequest(kept.origin().request().value())
                .setService(kept.origin().service().value())
                .setSoftware(kept.origin().software().value())
                .setRemainingMillis(kept.remaining().toMillis())
                .build();
    }

    @Override
    public Optional<PeerMessage> decode(Envelope envelope) {
        if (!envelope.hasOrigin()) {
            return Optional.empty();
        }
        PeerProtocol.OriginMessage wire = envelope.getOrigin();
        return switch (wire.getStepCase()) {
            case KEEP ->
                Optional.of(new OriginMessage.Keep(wire.getKeep().getRecordsList().stream()
                        .map(OriginCodec::decode)
                        .collect(ImmutableList.toImmutableList())));
            case ASK -> Optional.of(decode(wire.getAsk()));
            case ANSWER -> Optional.of(decode(wire.getAnswer()));
            case STEP_NOT_SET -> Optional.empty();
        };
    }

    private static PeerMessage decode(AskOriginMessage wire) {
        Optional<ServiceName> onlyService =
                wire.getOnlyService().isEmpty() ? Optional.empty() : Optional.of(ServiceName.of(wire.getOnlyService()));
        StreamQuery query = new StreamQuery(
                RequestId.of(wire.getRequest()), onlyService, Duration.ofMillis(Math.max(0, wire.getMaxAgeMillis())));
        return new OriginMessage.Ask(wire.getNumber(), query);
    }

    private static PeerMessage decode(OriginAnswerMessage wire) {
        return new OriginMessage.Answer(
                wire.getNumber(), wire.hasRecord() ? Optional.of(decode(wire.getRecord())) : Optional.empty());
    }

    private static OriginMessage.Kept decode(KeptOrigin wire) {
        return new OriginMessage.Kept(
                new StreamOrigin(
                        RequestId.of(wire.getRequest()),
                        ServiceName.of(wire.getService()),
                        SoftwareVersion.of(wire.getSoftware())),
                Duration.ofMillis(Math.max(0, wire.getRemainingMillis())));
    }
}
