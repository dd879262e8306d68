package org.magnoliabridge.batch;

/** Numbers the runs of items at one node. */
public record ItemRunId(long value) {}
