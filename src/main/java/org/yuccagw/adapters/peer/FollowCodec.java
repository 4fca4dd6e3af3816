package org.yuccagw.adapters.peer;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.Optional;
import org.yuccagw.core.follow.CopyCoverage;
import org.yuccagw.core.follow.FollowMessage;
import org.yuccagw.core.placing.BreakReported;
import org.yuccagw.core.placing.RejectionLimitReported;
import org.yuccagw.core.port.KeyValueAnswer.Item;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.wire.PeerProtocol;
import org.yuccagw.wire.PeerProtocol.BreakMessage;
import org.yuccagw.wire.PeerProtocol.Envelope;
import org.yuccagw.wire.PeerProtocol.KeyItem;
import org.yuccagw.wire.PeerProtocol.RejectionLimitMessage;

/**
 * Encodes the messages about followed keys of the key-value service, and the reports of endpoints that broke the
 * connection while they ran a request, in protobuf.
 */
public final class FollowCodec implements BodyCodec {
    private static final int REQUEST = 0;
    private static final int REPLY = 1;
    private static final int STILL_STARTING = 2;

    private FollowCodec() {}

    public static FollowCodec create() {
        return new FollowCodec();
    }

    @Override
    public boolean encode(PeerMessage message, Envelope.Builder envelope) {
        if (message instanceof FollowMessage.ChangesRequest request) {
            envelope.setFollow(
                    PeerProtocol.FollowMessage.newBuilder().setKind(REQUEST).setRevision(request.afterRevision()));
            return true;
        }
        if (message instanceof FollowMessage.StillStarting) {
            envelope.setFollow(PeerProtocol.FollowMessage.newBuilder().setKind(STILL_STARTING));
            return true;
        }
        if (message instanceof FollowMessage.Changes reply) {
            envelope.setFollow(encode(reply));
            return true;
        }
        if (message instanceof RejectionLimitReported reported) {
            envelope.setRejectionLimit(RejectionLimitMessage.newBuilder()
                    .setEndpoint(EndpointStarts.encode(reported.endpoint()))
                    .setMaxRejections(reported.maxRejections())
                    .setRejected(reported.rejected()));
            return true;
        }
        if (message instanceof BreakReported reported) {
            envelope.setBreakSeen(BreakMessage.newBuilder()
                    .setFingerprint(reported.fingerprint())
                    .setEndpoint(EndpointStarts.encode(reported.endpoint())));
            return true;
        }
        return false;
    }

    private static PeerProtocol.FollowMessage.Builder encode(FollowMessage.Changes reply) {
        PeerProtocol.FollowMessage.Builder wire = PeerProtocol.FollowMessage.newBuilder()
                .setKind(REPLY)
                .setAfterRevision(reply.afterRevision())
                .setRevision(reply.revision())
                .setWhole(reply.whole())
                .setConfirmedAgeMillis(reply.confirmedAgeMillis())
                .setLapsesUpToRevision(reply.lapsesUpToRevision());
        reply.coverage()
                .ifPresent(coverage -> wire.setCoverage(PeerProtocol.CopyCoverage.newBuilder()
                        .addAllEarlierEras(coverage.earlierEras())
                        .setPresentEraMillis(coverage.presentEraMillis())));
        for (Item item : reply.items()) {
            wire.addItems(KeyItem.newBuilder()
                    .setKey(item.key())
                    .setValue(ByteString.copyFrom(item.value()))
                    .setRevision(item.revision())
                    .setRemoved(item.deleted()));
        }
        return wire;
    }

    @Override
    public Optional<PeerMessage> decode(Envelope envelope) {
        if (envelope.hasRejectionLimit()) {
            RejectionLimitMessage wire = envelope.getRejectionLimit();
            return Optional.of(new RejectionLimitReported(
                    EndpointStarts.decode(wire.getEndpoint()), wire.getMaxRejections(), wire.getRejected()));
        }
        if (envelope.hasBreakSeen()) {
            BreakMessage wire = envelope.getBreakSeen();
            return Optional.of(new BreakReported(wire.getFingerprint(), EndpointStarts.decode(wire.getEndpoint())));
        }
        if (!envelope.hasFollow()) {
            return Optional.empty();
        }
        PeerProtocol.FollowMessage wire = envelope.getFollow();
        if (wire.getKind() == REQUEST) {
            return Optional.of(new FollowMessage.ChangesRequest(wire.getRevision()));
        }
        if (wire.getKind() == STILL_STARTING) {
            return Optional.of(new FollowMessage.StillStarting());
        }
        return Optional.of(new FollowMessage.Changes(
                wire.getWhole(),
                wire.getAfterRevision(),
                wire.getRevision(),
                wire.getConfirmedAgeMillis(),
                wire.getLapsesUpToRevision(),
                wire.getItemsList().stream()
                        .map(item -> new Item(
                                item.getKey(), item.getValue().toByteArray(), item.getRevision(), item.getRemoved()))
                        .collect(ImmutableList.toImmutableList()),
                decodeCoverage(wire)));
    }

    private static Optional<CopyCoverage> decodeCoverage(PeerProtocol.FollowMessage wire) {
        if (!wire.hasCoverage()) {
            return Optional.empty();
        }
        PeerProtocol.CopyCoverage coverage = wire.getCoverage();
        return Optional.of(
                new CopyCoverage(ImmutableList.copyOf(coverage.getEarlierErasList()), coverage.getPresentEraMillis()));
    }
}
