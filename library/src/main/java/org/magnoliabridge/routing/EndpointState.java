package org.magnoliabridge.routing;

/** Whether an endpoint gets new work. */
public enum EndpointState {
    /** It gets new work. */
    ROUTABLE,
    /** It has failed and waits for the end of its back-off. */
    FAILED,
    /** Its back-off has ended; it gets one request at a time until one is answered. */
    PROBATION,
    /** It is leaving and never gets new work again under this incarnation. */
    LEAVING,
    /** The instance list does not name it any more; it gets no new work unless it is listed again. */
    UNLISTED
}
