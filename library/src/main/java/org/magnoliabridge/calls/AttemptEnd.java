package org.magnoliabridge.calls;

import org.magnoliabridge.http.HttpFailure;

/** How an attempt of a request ended, as far as this concerns the endpoint that it was sent to. */
public enum AttemptEnd {
    /** The endpoint sent a complete answer that reports no failure of its own. */
    ANSWERED,
    /** The endpoint sent a complete answer that reports a failure, or that may not come from the endpoint. */
    FAILED,
    /** The endpoint did not run the request. */
    REFUSED,
    /** The endpoint did not run the request, because it is shutting down. */
    LEAVING,
    /** The endpoint could not be reached. */
    UNREACHABLE,
    /** The connection was lost, or what the endpoint sent is not a complete answer. */
    BROKEN,
    /** The answer exceeds a size limit of this node. */
    OVERSIZED,
    /** The time that the request allows was over before the answer was complete. */
    TIMED_OUT,
    /** This node or the caller ended the attempt, or this node could not take the answer. */
    STOPPED;

    /** An attempt that ends this long before its time limit, in milliseconds, may have been ended by it. */
    public static final long TIME_LIMIT_MARGIN_MS = 20;

    /**
     * Returns how an attempt without a usable answer ended.
     *
     * @param timeUp whether the time that the request allows was over
     */
    public static AttemptEnd of(HttpFailure failure, boolean timeUp) {
        return switch (failure) {
            case HttpFailure.NotSent e -> timeUp ? TIMED_OUT : UNREACHABLE;
            case HttpFailure.TooLarge e -> e instanceof HttpFailure.NoRoom ? STOPPED : OVERSIZED;
            // Servers close idle connections without notice.
            case HttpFailure.ReusedConnectionLost e -> STOPPED;
            case HttpFailure.Unidentified e -> FAILED;
            case HttpFailure.Lost e -> timeUp ? TIMED_OUT : BROKEN;
        };
    }
}
