package org.magnoliabridge.calls;

/** How an attempt of a request ended, as far as this concerns the endpoint that it was sent to. */
public enum AttemptEnd {
    /** The endpoint sent a complete answer that reports no failure of its own. */
    ANSWERED,
    /** The endpoint sent a complete answer that reports a failure. */
    FAILED,
    /** The endpoint did not run the request. */
    REFUSED,
    /** The endpoint did not run the request, because it is shutting down. */
    LEAVING,
    /** The endpoint could not be reached. */
    UNREACHABLE,
    /** The connection was lost, or what the endpoint sent is not a complete answer. */
    BROKEN,
    /** This node ended the attempt, or could not take the answer. */
    STOPPED
}
