package org.magnoliabridge.orders;

/** Safety mechanisms of {@link OrdersCore}; a test disables each in turn to show that its checker detects the loss. */
enum OrdersMechanism {
    /** An order is recorded before it is sent. */
    INTENT,
    /** After a write with an unknown outcome, the intents are read back. */
    READ_BACK,
    /** The lease is checked before each order. */
    LEASE_CHECK
}
