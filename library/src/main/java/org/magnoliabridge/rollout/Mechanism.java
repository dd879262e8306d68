package org.magnoliabridge.rollout;

/** The mechanisms that a test switches off to show that the fault matrix finds the resulting faults. */
enum Mechanism {
    BODY_CREATE_IF_ABSENT,
    HEAD_CONDITIONAL_UPDATE,
    EXPIRY,
    REPLACED_CHECK,
    GAP_CHECK,
    ACK_TOKEN_READ_BACK
}
