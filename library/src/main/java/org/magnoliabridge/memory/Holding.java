package org.magnoliabridge.memory;

/** What a claim on a node's memory is for. */
public enum Holding {
    /** The body of a caller's request, while it arrives and until the request has ended. */
    REQUEST_BODY,
    /** The decoded items of a batch that is being submitted. */
    BATCH_ITEMS,
    /** The body of an endpoint's answer while it is received. */
    RECEIVED_ANSWER,
    /** An answer that a caller has not read completely. */
    CALLER_ANSWER,
    /** A page of batch results that is read for a caller. */
    BATCH_READ
}
