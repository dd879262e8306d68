package org.magnoliabridge.gateway;

/** What may be repeated of a route's requests, and how they are answered. */
public enum RouteKind {
    /** A request may run more than once. */
    IDEMPOTENT,
    /** A request may run at most once. */
    NON_IDEMPOTENT,
    /** The answer is a series of events; the route says whether another endpoint may continue it. */
    STREAM,
    /** A batch of items that run later. */
    BATCH
}
