package org.yuccagw.adapters.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import org.yuccagw.core.claim.ClaimHead;
import org.yuccagw.core.claim.ClaimHead.Segment;
import org.yuccagw.core.claim.ClaimLogCodec;
import org.yuccagw.core.claim.ClaimRecord;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.wire.PeerProtocol;

/** Encodes the documents of a shard's claim log, its head and its segments, in protobuf. */
public final class ClaimLogProtobuf implements ClaimLogCodec {
    private ClaimLogProtobuf() {}

    public static ClaimLogProtobuf of() {
        return new ClaimLogProtobuf();
    }

    @Override
    public byte[] encodeHead(ClaimHead head) {
        PeerProtocol.ClaimHead.Builder wire =
                PeerProtocol.ClaimHead.newBuilder().setEpoch(head.epoch());
        head.records().forEach(record -> wire.addRecords(ClaimRecords.toWire(record)));
        for (Segment segment : head.segments()) {
            wire.addSegments(PeerProtocol.ClaimSegment.newBuilder()
                    .setName(segment.name())
                    .setNewestWallMillis(segment.newestWallMillis()));
        }
        return wire.build().toByteArray();
    }

    @Override
    public ClaimHead decodeHead(byte[] document) throws YuccagwException {
        try {
            PeerProtocol.ClaimHead wire = PeerProtocol.ClaimHead.parseFrom(document);
            return new ClaimHead(wire.getEpoch(), records(wire.getRecordsList()), segments(wire));
        } catch (InvalidProtocolBufferException | IllegalArgumentException damaged) {
            throw ErrorKind.CLAIM_UNAVAILABLE.raiseFrom(damaged, "the head of the claims is damaged");
        }
    }

    @Override
    public byte[] encodeSegment(List<ClaimRecord> records) {
        PeerProtocol.ClaimRecords.Builder wire = PeerProtocol.ClaimRecords.newBuilder();
        records.forEach(record -> wire.addRecords(ClaimRecords.toWire(record)));
        return wire.build().toByteArray();
    }

    @Override
    public List<ClaimRecord> decodeSegment(byte[] document) throws YuccagwException {
        try {
            return records(PeerProtocol.ClaimRecords.parseFrom(document).getRecordsList());
        } catch (InvalidProtocolBufferException | IllegalArgumentException damaged) {
            throw ErrorKind.CLAIM_UNAVAILABLE.raiseFrom(damaged, "a segment of the claims is damaged");
        }
    }

    private static List<ClaimRecord> records(List<PeerProtocol.ClaimRecord> wire) {
        return wire.stream().map(ClaimRecords::fromWire).toList();
    }

    private static List<Segment> segments(PeerProtocol.ClaimHead wire) {
        return wire.getSegmentsList().stream()
                .map(segment -> new Segment(segment.getName(), segment.getNewestWallMillis()))
                .toList();
    }
}
