package org.yuccagw.core.claim;

import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.RequestId;

/** The answer to a {@link ClaimRequested}. */
public interface ClaimDecision {
    /** The claim is committed: the request may be sent to an endpoint, once. */
    record Granted() implements ClaimDecision {}

    /** Another attempt with the same key and body is running: its answer can be followed through that entry. */
    record Running(EntryId entry, RequestId request) implements ClaimDecision {}

    /** An earlier attempt with the same key and body has ended, and its whole answer was retained. */
    record Answered(KeptAnswer answer) implements ClaimDecision {}

    /** The answer to a lookup: the key has no record, so the request has not run. */
    record Unclaimed() implements ClaimDecision {}

    /** The request must not run. The error is of kind KEY_REUSED, OUTCOME_UNKNOWN or CLAIM_UNAVAILABLE. */
    record Refused(YuccagwException error) implements ClaimDecision {}

    /**
     * A whole answer as it was sent to the caller.
     *
     * @param status HTTP status
     * @param contentType value of the header {@code Content-Type}
     */
    record KeptAnswer(int status, String contentType, byte[] body) {}
}
