package org.magnoliabridge.orders;

/** What became of an order that was sent. */
public enum OrderOutcome {
    /** The interface accepted the order. */
    ACCEPTED,
    /** The order was certainly not carried out: it was not sent, or the interface refused it for now. */
    NOT_DONE,
    /** The order may have been carried out. */
    UNKNOWN,
    /** The interface has seen a higher fencing token, so another process holds the lease. */
    STALE_FENCING
}
