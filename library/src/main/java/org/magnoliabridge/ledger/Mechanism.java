package org.magnoliabridge.ledger;

/** Safety mechanisms that a test disables one by one to show that the fault matrix detects the violations. */
enum Mechanism {
    CLAIM_BEFORE_SEND,
    CONDITIONAL_UPDATE,
    READ_BACK,
    DIGEST_CHECK,
    FENCE
}
