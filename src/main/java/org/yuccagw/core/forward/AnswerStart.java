package org.yuccagw.core.forward;

import java.util.OptionalLong;
import org.yuccagw.core.notice.EndpointNotice;

/**
 * What decides about an answer when its head arrives.
 *
 * @param status HTTP status
 * @param ofThisRequest whether it names the id of the request; an answer that doesn't belongs to another one
 * @param sealed whether it carries the mark that every whole answer of an endpoint has
 * @param notRun whether the endpoint says that it did not run the request
 * @param fromOther whether another endpoint than the expected one answered
 * @param encoded whether the body is encoded, which no endpoint does by itself
 * @param framed whether its end can be told from a break
 * @param version weights that the answer is made with
 * @param notice what the endpoint says of itself
 */
public record AnswerStart(
        int status,
        boolean ofThisRequest,
        boolean sealed,
        boolean notRun,
        boolean fromOther,
        boolean encoded,
        boolean framed,
        OptionalLong version,
        EndpointNotice notice) {
    private static final int MISDIRECTED = 421;
    private static final int FIRST_FAULT = 500;

    boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    boolean isFault() {
        return status >= FIRST_FAULT;
    }

    /** Whether it can be passed on as the endpoint's own answer. */
    boolean isGenuine() {
        boolean complete = !isSuccess() || sealed;
        return ofThisRequest && !encoded && framed && complete;
    }

    /**
     * Whether it says something of the endpoint that was asked, and not of another one at its address. A refusal that
     * names no request is believed like the refusal itself.
     */
    boolean isOfExpectedEndpoint() {
        return (ofThisRequest || notRun) && !fromOther;
    }

    boolean isMisdirected() {
        return status == MISDIRECTED;
    }

    /** A status by which a caller is promised that the request has not run. */
    boolean promisesNotRun() {
        return status == 429 || status == 503 || status == 408 || status == MISDIRECTED;
    }
}
