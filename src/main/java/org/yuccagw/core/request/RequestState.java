package org.yuccagw.core.request;

/** The states of {@link RequestMachine}. */
enum RequestState {
    NEW,
    ADMITTING,
    CLAIMING,
    /** Refused by admission; waits to learn whether an earlier attempt with its idempotency key has run. */
    LOOKING_UP,
    JUDGING,
    ROUTING,
    IMPORTING,
    SENDING,
    STREAMING,
    PROBING,
    RESUMING,
    /** Waits before another endpoint is requested. */
    WAITING,
    /** Waits before the stream is resumed on an endpoint that was silent but alive. */
    RETURNING,
    OVER
}
