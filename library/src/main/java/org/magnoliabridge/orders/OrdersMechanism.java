package org.magnoliabridge.orders;

/** The mechanisms behind safe orders; a test switches one off to show that its checker notices. */
enum OrdersMechanism {
    /** An order is recorded before it is sent. */
    INTENT,
    /** A write whose answer was lost is settled by reading the intents back. */
    READ_BACK,
    /** The lease is checked before each order. */
    LEASE_CHECK
}
