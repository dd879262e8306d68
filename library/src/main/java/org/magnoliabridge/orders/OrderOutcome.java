package org.magnoliabridge.orders;

/** The outcome of an order. */
public enum OrderOutcome {
    /** The order API accepted the order. */
    ACCEPTED,
    /** The order was not sent. */
    NOT_SENT,
    /** The order API refused the order, for example because a data centre has no room. */
    REFUSED,
    /** The order may have been carried out. */
    UNKNOWN,
    /** The order API has seen a higher fencing token, so another process holds the lease. */
    STALE_FENCING
}
