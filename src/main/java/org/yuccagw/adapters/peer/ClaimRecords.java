package org.yuccagw.adapters.peer;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.yuccagw.core.claim.ClaimAttempt;
import org.yuccagw.core.claim.ClaimDecision.KeptAnswer;
import org.yuccagw.core.claim.ClaimKey;
import org.yuccagw.core.claim.ClaimRecord;
import org.yuccagw.core.claim.ClaimRecord.State;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.IdempotencyKey;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.WorkspaceId;
import org.yuccagw.wire.PeerProtocol;

/** Maps claim records to protobuf and back; shared by the peer messages and the documents of the claim log. */
final class ClaimRecords {
    /** The index of a state is its number on the wire. */
    private static final List<State> STATES = List.of(State.RUNNING, State.ANSWERED, State.UNKNOWN);

    private ClaimRecords() {}

    static PeerProtocol.ClaimRecord toWire(ClaimRecord record) {
        PeerProtocol.ClaimRecord.Builder wire = toWire(record.key(), record.attempt())
                .setBodyHash(record.bodyHash())
                .setRequest(record.request().value())
                .setState(STATES.indexOf(record.state()))
                .setWallMillis(record.wallMillis());
        record.answer().ifPresent(answer -> writeAnswer(answer, wire));
        return wire.build();
    }

    static PeerProtocol.ClaimRecord.Builder toWire(ClaimKey key, ClaimAttempt attempt) {
        return toWire(attempt)
                .setWorkspace(key.workspace().value())
                .setKey(key.key().value());
    }

    static PeerProtocol.ClaimRecord.Builder toWire(ClaimAttempt attempt) {
        return PeerProtocol.ClaimRecord.newBuilder()
                .setEntry(attempt.entry().value())
                .setEntryIncarnation(attempt.incarnation())
                .setAttempt(attempt.number());
    }

    static void writeAnswer(KeptAnswer answer, PeerProtocol.ClaimRecord.Builder wire) {
        wire.setAnswerStatus(answer.status())
                .setAnswerType(answer.contentType())
                .setAnswerBody(ByteString.copyFrom(answer.body()));
    }

    /**
     * Decodes a record.
     *
     * @throws IllegalArgumentException when an id or the state is invalid
     */
    static ClaimRecord fromWire(PeerProtocol.ClaimRecord wire) {
        return new ClaimRecord(
                key(wire),
                wire.getBodyHash(),
                RequestId.of(wire.getRequest()),
                attempt(wire),
                valueAt(STATES, wire.getState()),
                wire.getWallMillis(),
                answer(wire));
    }

    static ClaimKey key(PeerProtocol.ClaimRecord wire) {
        return new ClaimKey(WorkspaceId.of(wire.getWorkspace()), IdempotencyKey.of(wire.getKey()));
    }

    static ClaimAttempt attempt(PeerProtocol.ClaimRecord wire) {
        return new ClaimAttempt(EntryId.of(wire.getEntry()), wire.getEntryIncarnation(), wire.getAttempt());
    }

    static Optional<KeptAnswer> answer(PeerProtocol.ClaimRecord wire) {
        if (wire.getAnswerStatus() == 0) {
            return Optional.empty();
        }
        return Optional.of(new KeptAnswer(
                wire.getAnswerStatus(),
                wire.getAnswerType(),
                wire.getAnswerBody().toByteArray()));
    }

    /**
     * Returns the value at an index received from a peer or read from a document.
     *
     * @throws IllegalArgumentException when the index is out of range
     */
    static <T> T valueAt(List<T> values, int index) {
        if (index < 0 || index >= values.size()) {
            throw new IllegalArgumentException("no value has the number " + index);
        }
        return values.get(index);
    }
}
