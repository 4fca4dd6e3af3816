package org.yuccagw.core.retry;

/**
 * The ways in which one attempt can fail, as far as the layer that observed the failure can distinguish them. The list
 * is closed.
 *
 * <p>A class states what is proven about the attempt. A class whose row in {@link RetryTable} says "not run" may be
 * used only if no part of the request can have run. In case of doubt, use a class that says "may have run".
 */
public enum FailureClass {
    /** No connection was established, so no byte of the request reached the endpoint. */
    CONNECT_FAILED,
    /** The endpoint shed the request before running it: status 429 or a model engine's code {@code overloaded}. */
    OVERLOADED,
    /** Error code {@code leaving} of a model engine, which accepts no new requests. */
    LEAVING,
    /** Error code {@code wrong_version} of a model engine, which runs another weight version. */
    WRONG_VERSION,
    /** The endpoint rejected the request as invalid, so a retry would be rejected too. */
    REJECTED,
    /** A server error that does not prove that nothing ran, such as status 503 of a plain service. */
    FAILED,
    /** The connection was closed after the request was sent and before the answer was complete. */
    CONNECTION_RESET,
    /** No byte was received within the progress timeout, so the connection was closed. */
    CONNECTION_SILENT,
    /** The connection broke and the endpoint no longer responds. */
    ENDPOINT_DIED,
    /** The deadline that covers all attempts passed. */
    DEADLINE_PASSED,
    /** The entry answered that it accepts no requests: NOT_READY or STOPPING. */
    ENTRY_NOT_READY,
    /** The entry refused the request and named a delay after which to retry. */
    ENTRY_REFUSED,
    /** The connection to the entry broke, or no bytes were received on it. */
    ENTRY_LOST,
    /** The key-value service rejected the call before it changed anything. */
    KEY_VALUE_REFUSED,
    /** The key-value service did not answer, so the outcome of the call is unknown. */
    KEY_VALUE_LOST;

    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVER_ERROR = 500;

    /**
     * Returns the failure class of an error answer of an endpoint.
     *
     * @param status HTTP status, 400 or above
     * @param errorCode the field {@code error.code} of the answer; empty if the answer has none, or if the endpoint is
     *     a plain service, whose error codes prove nothing
     * @throws IllegalArgumentException if the status is below 400
     */
    public static FailureClass ofAnswer(int status, String errorCode) {
        if (status < BAD_REQUEST) {
            throw new IllegalArgumentException("status " + status + " is not an error");
        }
        if (status == TOO_MANY_REQUESTS) {
            return OVERLOADED;
        }
        if (status == CONFLICT && errorCode.equals("wrong_version")) {
            return WRONG_VERSION;
        }
        if (status < SERVER_ERROR) {
            return REJECTED;
        }
        return switch (errorCode) {
            case "overloaded" -> OVERLOADED;
            case "leaving" -> LEAVING;
            default -> FAILED;
        };
    }
}
