package org.yuccagw.core.error;

/**
 * The closed set of errors that callers, operators and logs can see, with the error answer of each kind.
 *
 * <p>Each kind defines the HTTP status, whether the request ran, where the request may be retried, and the message
 * template. {@link Ran#NOT_RUN} is a guarantee: no byte of the request reached an endpoint, or the endpoint itself
 * refused the request before running it. Code that can't prove this uses a kind with {@link Ran#MAY_HAVE_RUN}. All
 * attempts with one idempotency key are one request: an error that is raised before the claim of the key was decided is
 * sent as {@link YuccagwException#mayHaveRunBefore}.
 *
 * <p>Example: {@code ErrorKind.UNKNOWN_MODEL.raise("gtp-4")} creates an error with status 404, not run, and the message
 * {@code no service of the catalogue is named 'gtp-4'}.
 */
public enum ErrorKind {
    // Malformed or unroutable requests
    MALFORMED_BODY(400, Ran.NOT_RUN, Retry.NEVER, "the body isn't valid JSON: %s"),
    MALFORMED_UTF8(400, Ran.NOT_RUN, Retry.NEVER, "the body isn't valid UTF-8 at byte %s"),
    WRONG_FIELD(400, Ran.NOT_RUN, Retry.NEVER, "field '%s': %s"),
    MISSING_IDEMPOTENCY_KEY(400, Ran.NOT_RUN, Retry.NEVER, "'%s' is not idempotent: send the header Idempotency-Key"),
    WRONG_IDEMPOTENCY_KEY(400, Ran.NOT_RUN, Retry.NEVER, "the header Idempotency-Key %s"),
    WRONG_RESUME_TOKEN(400, Ran.NOT_RUN, Retry.NEVER, "the resume token %s"),
    BODY_TOO_LARGE(413, Ran.NOT_RUN, Retry.NEVER, "the body is over the limit of %s bytes"),
    HEADERS_TOO_LARGE(431, Ran.NOT_RUN, Retry.NEVER, "the headers are over the limit of %s bytes"),
    SLOW_BODY(408, Ran.NOT_RUN, Retry.CALLER, "the body did not arrive within %s ms"),
    CUT_BODY(400, Ran.NOT_RUN, Retry.CALLER, "the connection ended before the whole body arrived"),
    METHOD_NOT_ALLOWED(405, Ran.NOT_RUN, Retry.NEVER, "'%s' takes %s only"),
    UNKNOWN_PATH(404, Ran.NOT_RUN, Retry.NEVER, "nothing is served at '%s'"),
    MALFORMED_HEAD(400, Ran.NOT_RUN, Retry.NEVER, "the head of the request %s"),
    UNKNOWN_ROUTE(404, Ran.NOT_RUN, Retry.NEVER, "no route leads to this host and path"),
    // Authentication, authorization and unknown names
    MISSING_KEY(401, Ran.NOT_RUN, Retry.NEVER, "send the header Authorization: Bearer KEY"),
    WRONG_KEY(401, Ran.NOT_RUN, Retry.NEVER, "the bearer key belongs to no workspace"),
    FORBIDDEN(403, Ran.NOT_RUN, Retry.NEVER, "%s"),
    UNKNOWN_WORKSPACE(404, Ran.NOT_RUN, Retry.NEVER, "the catalogue has no workspace '%s'"),
    UNKNOWN_MODEL(404, Ran.NOT_RUN, Retry.NEVER, "no service of the catalogue is named '%s'"),
    // At-most-once execution
    KEY_REUSED(422, Ran.NOT_RUN, Retry.NEVER, "the idempotency key was used with another body"),
    ALREADY_RUNNING(409, Ran.MAY_HAVE_RUN, Retry.CALLER, "the request with this idempotency key is still running"),
    OUTCOME_UNKNOWN(
            409,
            Ran.MAY_HAVE_RUN,
            Retry.NEVER,
            "the request with this idempotency key may have run and its answer is lost; it won't run again"),
    CLAIM_UNAVAILABLE(503, Ran.NOT_RUN, Retry.CALLER, "the claim for this request can't be recorded now: %s"),
    // Limits, overload and availability
    WORKSPACE_LIMIT(429, Ran.NOT_RUN, Retry.CALLER, "workspace '%s' is at its limit of %s"),
    OVERLOADED(503, Ran.NOT_RUN, Retry.CALLER, "the predicted wait of %s ms passes the deadline of the class"),
    QUARANTINED(422, Ran.NOT_RUN, Retry.NEVER, "this prompt ended %s endpoints and is refused for %s s"),
    RETRY_BUDGET_SPENT(503, Ran.NOT_RUN, Retry.CALLER, "service '%s' refuses and its retry budget is spent"),
    NO_ENDPOINT(503, Ran.NOT_RUN, Retry.CALLER, "no endpoint of service '%s' can take the request"),
    SOFTWARE_GONE(
            503,
            Ran.NOT_RUN,
            Retry.CALLER,
            "no endpoint of service '%s' runs software version '%s', which began the stream, any more"),
    STREAM_UNKNOWN(
            503,
            Ran.NOT_RUN,
            Retry.OTHER_ENTRY,
            "the software version that began the stream of request '%s' is not known"),
    NOT_READY(503, Ran.NOT_RUN, Retry.OTHER_ENTRY, "this entry %s"),
    STOPPING(503, Ran.NOT_RUN, Retry.OTHER_ENTRY, "this entry is stopping"),
    // Failures of endpoints and attempts
    ENDPOINT_REFUSED(502, Ran.NOT_RUN, Retry.CALLER, "endpoint '%s' refused before running: %s"),
    SUSPECT_REQUEST(503, Ran.NOT_RUN, Retry.CALLER, "requests like this one ended %s endpoints that ran them"),
    ANSWER_CUT(502, Ran.MAY_HAVE_RUN, Retry.CALLER_IF_IDEMPOTENT, "the endpoint's answer broke off: %s"),
    ENDPOINT_FAILED(502, Ran.MAY_HAVE_RUN, Retry.CALLER_IF_IDEMPOTENT, "endpoint '%s' failed: %s"),
    ENDPOINT_REJECTED(400, Ran.NOT_RUN, Retry.NEVER, "the endpoint rejected the request: %s"),
    STREAM_LOST(502, Ran.MAY_HAVE_RUN, Retry.CALLER_IF_IDEMPOTENT, "the answer can't be completed: %s"),
    VERSION_GONE(409, Ran.MAY_HAVE_RUN, Retry.CALLER_IF_IDEMPOTENT, "no endpoint still runs weight version '%s'"),
    DEADLINE_PASSED(504, Ran.MAY_HAVE_RUN, Retry.CALLER_IF_IDEMPOTENT, "no whole answer within %s ms"),
    // Catalogue, settings, stored state and operators' requests
    CATALOGUE_INVALID(422, Ran.NOT_RUN, Retry.NEVER, "%s"),
    CATALOGUE_CONFLICT(409, Ran.NOT_RUN, Retry.NEVER, "the catalogue is at revision %s; both edits change: %s"),
    CATALOGUE_TOO_LARGE(413, Ran.NOT_RUN, Retry.NEVER, "the catalogue would take %s bytes of at most %s"),
    SETTINGS_INVALID(500, Ran.NOT_RUN, Retry.NEVER, "%s"),
    STATE_UNAVAILABLE(503, Ran.NOT_RUN, Retry.CALLER, "the key-value service does not answer: %s"),
    STATE_UNREADABLE(500, Ran.NOT_RUN, Retry.NEVER, "the value of key '%s' can't be read: %s"),
    EDIT_UNCONFIRMED(
            503,
            Ran.MAY_HAVE_RUN,
            Retry.CALLER,
            "edit '%s' may be accepted: read the history or send it again under the same edit id"),
    STALE_OWNER(409, Ran.NOT_RUN, Retry.OTHER_ENTRY, "this entry does not own %s now"),
    ORDER_REFUSED(409, Ran.NOT_RUN, Retry.NEVER, "endpoint '%s' refused the order: %s"),
    UNKNOWN_ITEM(404, Ran.NOT_RUN, Retry.NEVER, "there is no %s '%s'"),
    // Cache transfers; shown only in logs and to operators, never to callers
    BLOCK_DAMAGED(502, Ran.NOT_RUN, Retry.NEVER, "block '%s': %s"),
    BLOCK_GONE(404, Ran.NOT_RUN, Retry.NEVER, "block '%s' is not in store '%s'"),
    STORE_FULL(507, Ran.NOT_RUN, Retry.NEVER, "store '%s' is full"),
    STORE_UNAVAILABLE(503, Ran.NOT_RUN, Retry.CALLER, "store '%s' does not answer: %s"),
    // Internal errors
    PEER_MESSAGE_INVALID(400, Ran.NOT_RUN, Retry.NEVER, "message of peer '%s': %s"),
    INTERNAL(500, Ran.MAY_HAVE_RUN, Retry.CALLER_IF_IDEMPOTENT, "internal error: %s");

    /** Whether the request may have run when this error occurs. */
    public enum Ran {
        NOT_RUN("not-run"),
        MAY_HAVE_RUN("may-have-run"),
        RAN("ran");

        private final String text;

        Ran(String text) {
            this.text = text;
        }

        /** Returns the value of the field {@code ran} in an error answer. */
        public String text() {
            return text;
        }
    }

    /** Whether and where the request may be retried. */
    public enum Retry {
        NEVER("never"),
        CALLER("caller"),
        CALLER_IF_IDEMPOTENT("caller-if-idempotent"),
        OTHER_ENTRY("other-entry");

        private final String text;

        Retry(String text) {
            this.text = text;
        }

        /** Returns the value of the field {@code retry} in an error answer. */
        public String text() {
            return text;
        }
    }

    private final int status;
    private final Ran ran;
    private final Retry retry;
    private final String template;

    ErrorKind(int status, Ran ran, Retry retry, String template) {
        this.status = status;
        this.ran = ran;
        this.retry = retry;
        this.template = template;
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }

    public Ran ran() {
        return ran;
    }

    public Retry retry() {
        return retry;
    }

    /** Returns the message template, a format string for {@link String#format}. */
    public String template() {
        return template;
    }

    /** Returns the code in the JSON error answer: the name in lower case, such as {@code unknown_model}. */
    public String code() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }

    /**
     * Creates an error of this kind; the caller throws it or passes it on.
     *
     * @param arguments the arguments of the message template
     */
    public YuccagwException raise(Object... arguments) {
        return new YuccagwException(this, String.format(template, arguments), null);
    }

    /** Creates an error of this kind with its cause. */
    public YuccagwException raiseFrom(Throwable cause, Object... arguments) {
        return new YuccagwException(this, String.format(template, arguments), cause);
    }

    /** Creates an error of this kind from the answer of another process, with the message of that answer. */
    public YuccagwException fromAnswer(String message) {
        return new YuccagwException(this, message, null);
    }
}
