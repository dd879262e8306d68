package org.magnoliabridge.orders;

/** What became of an order that was sent. */
public enum OrderOutcome {
    /** The interface accepted the order. */
    ACCEPTED,
    /** The order was not sent. */
    NOT_SENT,
    /** The interface refused the order, for example because a data centre has no room. */
    REFUSED,
    /** The order may have been carried out. */
    UNKNOWN,
    /** The interface has seen a higher fencing token, so another process holds the lease. */
    STALE_FENCING
}
