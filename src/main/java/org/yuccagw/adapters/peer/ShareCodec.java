package org.yuccagw.adapters.peer;

import java.time.Duration;
import java.util.Optional;
import org.yuccagw.core.admission.LimitName;
import org.yuccagw.core.admission.Share;
import org.yuccagw.core.admission.SharePeerMessage;
import org.yuccagw.core.admission.SharePeerMessage.Ask;
import org.yuccagw.core.admission.SharePeerMessage.Grant;
import org.yuccagw.core.admission.SharePeerMessage.Present;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.wire.PeerProtocol.Envelope;
import org.yuccagw.wire.PeerProtocol.ShareMessage;

/** Encodes the messages about shares of limits in protobuf. */
public final class ShareCodec implements BodyCodec {
    private static final int REQUEST = 0;
    private static final int GRANT = 1;
    private static final int PRESENCE = 2;

    private ShareCodec() {}

    public static ShareCodec of() {
        return new ShareCodec();
    }

    @Override
    public boolean encode(PeerMessage message, Envelope.Builder envelope) {
        if (!(message instanceof SharePeerMessage shareMessage)) {
            return false;
        }
        ShareMessage.Builder wire =
                ShareMessage.newBuilder().setShard(shareMessage.shard().value());
        if (message instanceof Ask request) {
            writeShare(wire.setKind(REQUEST), request.limit(), request.held())
                    .setEpoch(request.epoch())
                    .setSequence(request.sequence())
                    .setRunning(request.running())
                    .setDemand(request.demand());
        } else if (message instanceof Grant grant) {
            writeShare(wire.setKind(GRANT), grant.limit(), grant.share())
                    .setEpoch(grant.epoch())
                    .setSequence(grant.sequence())
                    .setValidMillis(grant.lifetime().toMillis());
        } else if (message instanceof Present) {
            wire.setKind(PRESENCE);
        }
        envelope.setShare(wire);
        return true;
    }

    private static ShareMessage.Builder writeShare(ShareMessage.Builder wire, LimitName limit, Share share) {
        return wire.setLimit(limit.text()).setConcurrent(share.concurrent()).setFraction(share.fraction());
    }

    @Override
    public Optional<PeerMessage> decode(Envelope envelope) throws YuccagwException {
        if (!envelope.hasShare()) {
            return Optional.empty();
        }
        try {
            return Optional.of(read(envelope.getShare()));
        } catch (IllegalArgumentException invalid) {
            throw ErrorKind.PEER_MESSAGE_INVALID.raiseFrom(invalid, envelope.getFrom(), invalid.getMessage());
        }
    }

    private static PeerMessage read(ShareMessage wire) {
        ShardNumber shard = ShardNumber.of(wire.getShard());
        return switch (wire.getKind()) {
            case REQUEST ->
                new Ask(
                        shard,
                        new LimitName(wire.getLimit()),
                        share(wire),
                        wire.getEpoch(),
                        wire.getSequence(),
                        wire.getRunning(),
                        requireNonNegative(wire.getDemand()));
            case GRANT ->
                new Grant(
                        shard,
                        wire.getEpoch(),
                        new LimitName(wire.getLimit()),
                        share(wire),
                        wire.getSequence(),
                        Duration.ofMillis(wire.getValidMillis()));
            case PRESENCE -> new Present(shard);
            default -> throw new IllegalArgumentException("share message of unknown kind " + wire.getKind());
        };
    }

    private static Share share(ShareMessage wire) {
        if (wire.getConcurrent() < 0) {
            throw new IllegalArgumentException("a share of " + wire.getConcurrent() + " concurrent requests");
        }
        return new Share(wire.getConcurrent(), requireNonNegative(wire.getFraction()));
    }

    private static double requireNonNegative(double value) {
        if (!(value >= 0) || Double.isInfinite(value)) {
            throw new IllegalArgumentException("expected a finite number of at least 0, found " + value);
        }
        return value;
    }
}
