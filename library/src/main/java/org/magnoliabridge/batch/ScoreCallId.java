package org.magnoliabridge.batch;

/** Identifies a call for a score within one node. */
public record ScoreCallId(long value) {}
