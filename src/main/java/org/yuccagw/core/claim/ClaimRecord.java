package org.yuccagw.core.claim;

import java.util.Optional;
import org.yuccagw.core.claim.ClaimDecision.KeptAnswer;
import org.yuccagw.core.id.RequestId;

/**
 * The record of one key in the log of claims.
 *
 * @param bodyHash hash of the body that was sent with the key; see {@link Claim}
 * @param request identifier of the caller's request that was granted the claim
 * @param attempt the claim request that was granted
 * @param wallMillis time of the record in milliseconds since 1970; for retention only
 * @param answer the whole answer, if it was small enough to retain
 */
public record ClaimRecord(
        ClaimKey key,
        String bodyHash,
        RequestId request,
        ClaimAttempt attempt,
        State state,
        long wallMillis,
        Optional<KeptAnswer> answer) {
    /** The last recorded state of the run. */
    public enum State {
        RUNNING,
        ANSWERED,
        UNKNOWN
    }

    /** Returns the record of a claim whose run has not ended. */
    static ClaimRecord running(Claim claim, ClaimAttempt attempt, long wallMillis) {
        return new ClaimRecord(
                ClaimKey.of(claim),
                claim.bodyHash(),
                claim.request(),
                attempt,
                State.RUNNING,
                wallMillis,
                Optional.empty());
    }

    /** Returns this record with the state and the answer of an ended run. */
    ClaimRecord ended(State newState, Optional<KeptAnswer> newAnswer) {
        return new ClaimRecord(key, bodyHash, request, attempt, newState, wallMillis, newAnswer);
    }

    /** Returns this record with another time. */
    ClaimRecord recordedAt(long newWallMillis) {
        return new ClaimRecord(key, bodyHash, request, attempt, state, newWallMillis, answer);
    }
}
