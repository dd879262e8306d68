package org.magnoliabridge.routing;

/** Whether an endpoint may receive new requests. */
public enum EndpointState {
    /** May receive new requests. */
    ROUTABLE,
    /** Has failed; receives no requests until its back-off ends. */
    FAILED,
    /** Its back-off has ended; receives one request at a time until one is answered. */
    PROBATION,
    /** Is leaving; this incarnation never receives new requests again. */
    LEAVING,
    /** Is no longer in the instance list; receives no new requests unless it is listed again. */
    UNLISTED
}
