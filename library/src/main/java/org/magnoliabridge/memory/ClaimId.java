package org.magnoliabridge.memory;

/** Identifies a claim within one budget. */
record ClaimId(long value) {}
