package org.yuccagw.adapters.peer;

import java.util.List;
import java.util.Optional;
import org.yuccagw.core.claim.ClaimEnded.Outcome;
import org.yuccagw.core.claim.ClaimPeerMessage;
import org.yuccagw.core.claim.ClaimPeerMessage.Decided;
import org.yuccagw.core.claim.ClaimPeerMessage.Decision;
import org.yuccagw.core.claim.ClaimPeerMessage.EndRecorded;
import org.yuccagw.core.claim.ClaimPeerMessage.Ended;
import org.yuccagw.core.claim.ClaimPeerMessage.Lookup;
import org.yuccagw.core.claim.ClaimPeerMessage.Request;
import org.yuccagw.core.claim.ClaimPeerMessage.StatusQuery;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.port.PeerMessage;
import org.yuccagw.wire.PeerProtocol;
import org.yuccagw.wire.PeerProtocol.ClaimMessage;
import org.yuccagw.wire.PeerProtocol.Envelope;

/** Encodes the messages about claims in protobuf. */
public final class ClaimCodec implements BodyCodec {
    private static final int REQUEST = 0;
    private static final int DECISION = 1;
    private static final int ENDED = 2;
    private static final int END_RECORDED = 3;
    private static final int STILL_RUNNING = 4;
    private static final int LOOKUP = 5;

    private static final int GRANTED = 0;
    private static final int RUNNING = 1;
    private static final int ANSWERED = 2;
    private static final int REFUSED = 3;
    private static final int UNCLAIMED = 4;
    private static final int UNDECIDED = 5;

    /** The index of an outcome is its number on the wire. */
    private static final List<Outcome> OUTCOMES = List.of(Outcome.NOT_SENT, Outcome.ANSWERED, Outcome.UNKNOWN);

    private ClaimCodec() {}

    public static ClaimCodec of() {
        return new ClaimCodec();
    }

    @Override
    public boolean encode(PeerMessage message, Envelope.Builder envelope) {
        if (!(message instanceof ClaimPeerMessage claimMessage)) {
            return false;
        }
        ClaimMessage.Builder wire =
                ClaimMessage.newBuilder().setShard(claimMessage.shard().value());
        if (message instanceof Request request) {
            wire.setKind(REQUEST).setRecord(ClaimRecords.toWire(request.record()));
        } else if (message instanceof Lookup lookup) {
            wire.setKind(LOOKUP).setRecord(ClaimRecords.toWire(lookup.record()));
        } else if (message instanceof Decided decided) {
            wire.setKind(DECISION);
            writeDecision(decided, wire);
        } else if (message instanceof Ended ended) {
            wire.setKind(ENDED).setOutcome(OUTCOMES.indexOf(ended.outcome()));
            PeerProtocol.ClaimRecord.Builder record = ClaimRecords.toWire(ended.key(), ended.attempt());
            ended.answer().ifPresent(answer -> ClaimRecords.writeAnswer(answer, record));
            wire.setRecord(record);
        } else if (message instanceof EndRecorded recorded) {
            wire.setKind(END_RECORDED).setRecord(ClaimRecords.toWire(recorded.attempt()));
        } else if (message instanceof StatusQuery query) {
            wire.setKind(STILL_RUNNING).setRecord(ClaimRecords.toWire(query.key(), query.attempt()));
        }
        envelope.setClaim(wire);
        return true;
    }

    private static void writeDecision(Decided decided, ClaimMessage.Builder wire) {
        PeerProtocol.ClaimRecord.Builder record = ClaimRecords.toWire(decided.attempt());
        Decision decision = decided.decision();
        if (decision instanceof Decision.Granted) {
            wire.setDecision(GRANTED);
        } else if (decision instanceof Decision.Running running) {
            wire.setDecision(RUNNING)
                    .setRunningEntry(running.entry().value())
                    .setRunningRequest(running.request().value());
        } else if (decision instanceof Decision.Answered answered) {
            wire.setDecision(ANSWERED);
            ClaimRecords.writeAnswer(answered.answer(), record);
        } else if (decision instanceof Decision.Refused refused) {
            wire.setDecision(REFUSED).setErrorKind(refused.kind().name()).setErrorMessage(refused.detail());
        } else if (decision instanceof Decision.Unclaimed) {
            wire.setDecision(UNCLAIMED);
        } else if (decision instanceof Decision.Undecided undecided) {
            wire.setDecision(UNDECIDED).setErrorMessage(undecided.detail());
        }
        wire.setRecord(record);
    }

    @Override
    public Optional<PeerMessage> decode(Envelope envelope) throws YuccagwException {
        if (!envelope.hasClaim()) {
            return Optional.empty();
        }
        try {
            return Optional.of(read(envelope.getClaim()));
        } catch (IllegalArgumentException invalid) {
            throw ErrorKind.PEER_MESSAGE_INVALID.raiseFrom(invalid, envelope.getFrom(), invalid.getMessage());
        }
    }

    private static PeerMessage read(ClaimMessage wire) {
        ShardNumber shard = ShardNumber.of(wire.getShard());
        PeerProtocol.ClaimRecord record = wire.getRecord();
        return switch (wire.getKind()) {
            case REQUEST -> new Request(shard, ClaimRecords.fromWire(record));
            case LOOKUP -> new Lookup(shard, ClaimRecords.fromWire(record));
            case DECISION -> new Decided(shard, ClaimRecords.attempt(record), decision(wire));
            case ENDED ->
                new Ended(
                        shard,
                        ClaimRecords.key(record),
                        ClaimRecords.attempt(record),
                        ClaimRecords.valueAt(OUTCOMES, wire.getOutcome()),
                        ClaimRecords.answer(record));
            case END_RECORDED -> new EndRecorded(shard, ClaimRecords.attempt(record));
            case STILL_RUNNING -> new StatusQuery(shard, ClaimRecords.key(record), ClaimRecords.attempt(record));
            default -> throw new IllegalArgumentException("claim message of unknown kind " + wire.getKind());
        };
    }

    private static Decision decision(ClaimMessage wire) {
        return switch (wire.getDecision()) {
            case GRANTED -> new Decision.Granted();
            case RUNNING ->
                new Decision.Running(EntryId.of(wire.getRunningEntry()), RequestId.of(wire.getRunningRequest()));
            case ANSWERED ->
                new Decision.Answered(ClaimRecords.answer(wire.getRecord())
                        .orElseThrow(
                                () -> new IllegalArgumentException("claim decision 'answered' without an answer")));
            case REFUSED -> new Decision.Refused(ErrorKind.valueOf(wire.getErrorKind()), wire.getErrorMessage());
            case UNCLAIMED -> new Decision.Unclaimed();
            case UNDECIDED -> new Decision.Undecided(wire.getErrorMessage());
            default -> throw new IllegalArgumentException("claim decision of unknown kind " + wire.getDecision());
        };
    }
}
