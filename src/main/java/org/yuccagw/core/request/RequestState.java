package org.yuccagw.core.request;

/** The states of {@link RequestMachine}. */
enum RequestState {
    NEW,
    ADMITTING,
    CLAIMING,
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
