package org.yuccagw.core.claim;

import java.util.Optional;
import org.yuccagw.core.claim.ClaimDecision.KeptAnswer;
import org.yuccagw.core.claim.ClaimEnded.Outcome;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ShardNumber;
import org.yuccagw.core.port.PeerMessage;

/**
 * Messages between an entry and the owner of a shard about claims. Each message may be lost, delayed or duplicated.
 */
public interface ClaimPeerMessage extends PeerMessage {
    /** Returns the shard of the key. */
    ShardNumber shard();

    /** Requests a claim from the owner; sent again under the same attempt until it is decided. */
    record Request(ShardNumber shard, ClaimRecord record) implements ClaimPeerMessage {}

    /** Asks the owner what it would decide, without a claim; sent again under the same attempt until it is answered. */
    record Lookup(ShardNumber shard, ClaimRecord record) implements ClaimPeerMessage {}

    /** The decision of the owner on a request or a lookup. */
    record Decided(ShardNumber shard, ClaimAttempt attempt, Decision decision) implements ClaimPeerMessage {}

    /** Reports to the owner how the run ended; sent again until {@link EndRecorded} is received. */
    record Ended(ShardNumber shard, ClaimKey key, ClaimAttempt attempt, Outcome outcome, Optional<KeptAnswer> answer)
            implements ClaimPeerMessage {}

    /** Notifies the entry that the end is committed, so that it may discard the attempt. */
    record EndRecorded(ShardNumber shard, ClaimAttempt attempt) implements ClaimPeerMessage {}

    /** Queries whether an attempt that the log records as running is still running. Sent by the owner. */
    record StatusQuery(ShardNumber shard, ClaimKey key, ClaimAttempt attempt) implements ClaimPeerMessage {}

    /** The decision of the owner in the form that is sent to the entry. */
    interface Decision {
        record Granted() implements Decision {}

        record Running(EntryId entry, RequestId request) implements Decision {}

        record Answered(KeptAnswer answer) implements Decision {}

        /** The answer to a lookup: the key has no record. */
        record Unclaimed() implements Decision {}

        /** The attempt must not run, and it isn't known whether an earlier one with the key has. */
        record Undecided(String detail) implements Decision {}

        /**
         * The attempt must not run.
         *
         * @param kind KEY_REUSED, OUTCOME_UNKNOWN, CLAIM_UNAVAILABLE if the key has no record, or STALE_OWNER if the
         *     sender is no longer the owner and the request must be sent to the present one
         * @param detail argument of the message template of the kind; empty if it has none
         */
        record Refused(ErrorKind kind, String detail) implements Decision {}
    }
}
