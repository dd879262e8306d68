package org.magnoliabridge.lease;

/** The mechanisms that keep two holders apart; a test switches one off to show that its checker notices. */
enum LeaseMechanism {
    /** The holder stops sending before its own view of the expiry. */
    MARGIN,
    /** The fencing token rises with every new holder. */
    FENCING,
    /** A write whose answer was lost is settled by reading the lease back. */
    READ_BACK,
    /** A new holder waits before its first order. */
    TAKEOVER_WAIT
}
