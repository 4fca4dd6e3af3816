package org.yuccagw.core.deployment;

/** The kind of a route's requests, as configured by the operator. */
public enum RouteKind {
    /** Requests may run any number of times. */
    IDEMPOTENT,
    /** A request runs at most once for each request that a caller sends. */
    NON_IDEMPOTENT,
    /** Requests are answered by a stream of events; they may run again only if the route is resumable. */
    STREAM
}
