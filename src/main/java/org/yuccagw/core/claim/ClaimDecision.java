package org.yuccagw.core.claim;

import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.RequestId;

/** The answer to a {@link ClaimRequested}. */
public interface ClaimDecision {
    /** The claim is committed: the endpoint may see the request, once. */
    record Granted() implements ClaimDecision {}

    /** The same key and body runs on another attempt now: follow its answer at that entry. */
    record Running(EntryId entry, RequestId request) implements ClaimDecision {}

    /** The same key and body ended; the whole answer was kept. */
    record Answered(KeptAnswer answer) implements ClaimDecision {}

    /** The request must not run: KEY_REUSED, OUTCOME_UNKNOWN, CLAIM_UNAVAILABLE. */
    record Refused(YuccagwException error) implements ClaimDecision {}

    /**
     * A whole answer as it was sent to the caller.
     *
     * @param contentType header of the same name
     */
    record KeptAnswer(int status, String contentType, byte[] body) {}
}
