package org.magnoliabridge.daemon;

/**
 * Decides when a node reads the registry of nodes again. Nodes find each other when they start, and learn of the others
 * from those; a later read finds the nodes that were missed then.
 *
 * <p>Load pattern: hundreds of nodes run for hours. In a large cluster a node that one reader finds becomes known to
 * all, so that each node reads less often the more nodes there are, and the rate of reads stays the same.
 */
final class RegistryReads {
    static final long PERIOD_MS = 10_000;

    // Nodes that start together may not have been registered when the first of them read the registry.
    static final int EARLY_READS = 2;
    private static final int NODES_PER_PERIOD = 8;

    private long readAtMs;
    private int reads;

    /** Creates an instance of a node that has just read the registry. */
    RegistryReads(long nowMs) {
        readAtMs = nowMs;
    }

    /** Returns whether to read now, with this number of known nodes. */
    boolean isDue(long nowMs, int nodes) {
        long periods = reads < EARLY_READS ? 1 : Math.max(1, nodes / NODES_PER_PERIOD);
        return nowMs - readAtMs >= PERIOD_MS * periods;
    }

    /** Records a read. */
    void read(long nowMs) {
        readAtMs = nowMs;
        reads++;
    }
}
