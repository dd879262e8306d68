package org.magnoliabridge.warmup;

/** The part of the system that sends a request; each has its own share of what a cold endpoint tolerates. */
public enum Sender {
    /** The runner of the batches, one node: items and calls for scores. */
    RUNNER,
    /** Requests and streams of callers, at every node. */
    CALLERS
}
