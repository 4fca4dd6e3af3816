package org.yuccagw.core.forward;

import java.util.OptionalLong;
import org.yuccagw.core.notice.EndpointNotice;
import org.yuccagw.core.placing.AttemptEnded.End;

/**
 * The properties of the head of an answer that decide how the answer is handled.
 *
 * @param status HTTP status
 * @param forThisRequest whether it names the id of this request; otherwise the answer belongs to another request
 * @param sealed whether it carries the seal that every complete answer of an endpoint has
 * @param notRun whether the endpoint states that it did not run the request
 * @param fromOtherEndpoint whether an endpoint other than the expected one answered
 * @param encoded whether the body has a content encoding, which endpoints never apply
 * @param version weight version that generated the answer
 * @param notice state of the endpoint as stated in the head
 */
public record EndpointAnswerHead(
        int status,
        boolean forThisRequest,
        boolean sealed,
        boolean notRun,
        boolean fromOtherEndpoint,
        boolean encoded,
        OptionalLong version,
        EndpointNotice notice) {
    private static final int MISDIRECTED = 421;
    private static final int MIN_SERVER_ERROR = 500;

    boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    boolean isFault() {
        return status >= MIN_SERVER_ERROR;
    }

    /** Returns whether the answer may be forwarded as an answer of the endpoint to this request. */
    boolean isGenuine() {
        boolean complete = !isSuccess() || sealed;
        return forThisRequest && !encoded && complete;
    }

    /**
     * Returns whether the answer comes from the expected endpoint, and not from another one at its address. A refusal
     * without a request id counts as coming from the expected endpoint, just as the refusal itself is accepted.
     */
    boolean isOfExpectedEndpoint() {
        return (forThisRequest || notRun) && !fromOtherEndpoint;
    }

    /** Returns whether the endpoint states that it did not run the request, by a header or by the status. */
    public boolean statesNotRun() {
        return notRun || isMisdirected();
    }

    private boolean isMisdirected() {
        return status == MISDIRECTED;
    }

    /** Returns how the attempt ended if its endpoint did not run the request. */
    End notRunEnd() {
        if (!isMisdirected()) {
            return End.SHED;
        }
        return fromOtherEndpoint ? End.WRONG_ENDPOINT : End.WRONG_VERSION;
    }

    /** Returns whether the status would imply to a caller that the request has not run. */
    boolean impliesNotRun() {
        return status == 429 || status == 503 || status == 408 || status == MISDIRECTED;
    }
}
