package org.magnoliabridge.ledger;

/** The mechanisms that a test switches off to show that the fault matrix finds the resulting faults. */
enum Mechanism {
    CLAIM_BEFORE_SEND,
    CONDITIONAL_UPDATE,
    READ_BACK,
    DIGEST_CHECK,
    FENCE
}
