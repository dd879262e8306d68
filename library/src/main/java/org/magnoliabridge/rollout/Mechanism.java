package org.magnoliabridge.rollout;

/** Protective mechanisms that a test can switch off to show that the fault matrix detects the resulting faults. */
enum Mechanism {
    BODY_CREATE_IF_ABSENT,
    HEAD_CONDITIONAL_UPDATE,
    EXPIRY,
    REPLACED_CHECK,
    GAP_CHECK,
    ACK_TOKEN_READ_BACK
}
