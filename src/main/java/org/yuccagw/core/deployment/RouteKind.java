package org.yuccagw.core.deployment;

/** What the operator says of the requests of a route. */
public enum RouteKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** Runs once at most for each request that a caller sends. */
    NON_IDEMPOTENT,
    /** Answered by a stream of events; may run again only where the route says that it can be resumed. */
    STREAM
}
