package org.magnoliabridge.batch;

/** Identifies a run of an item within one node. */
public record ItemRunId(long value) {}
