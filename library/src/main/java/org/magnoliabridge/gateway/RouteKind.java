package org.magnoliabridge.gateway;

/** Determines whether the requests of a route may be retried, and the form of their response. */
public enum RouteKind {
    /** A request may be executed more than once. */
    IDEMPOTENT,
    /** A request may be executed at most once. */
    NON_IDEMPOTENT,
    /** The response is a stream of events; the route defines whether another endpoint may resume it. */
    STREAM,
    /** A request submits a batch of items that are executed asynchronously. */
    BATCH
}
