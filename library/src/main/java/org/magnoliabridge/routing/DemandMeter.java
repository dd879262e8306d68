package org.magnoliabridge.routing;

/** Measures a rate in tokens per second as an exponentially weighted mean. Deterministic and not thread-safe. */
final class DemandMeter {
    // As long as the burst that a token bucket allows, so that shares follow demand no faster than buckets do.
    private static final double MEMORY_MS = 10_000;
    private static final double MS_PER_SECOND = 1_000;

    private double perMs;
    private long atMs;

    DemandMeter(long nowMs) {
        atMs = nowMs;
    }

    void add(double tokens, long nowMs) {
        age(nowMs);
        perMs += tokens / MEMORY_MS;
    }

    double perSecond(long nowMs) {
        age(nowMs);
        return perMs * MS_PER_SECOND;
    }

    private void age(long nowMs) {
        perMs *= Math.exp(-(nowMs - atMs) / MEMORY_MS);
        atMs = nowMs;
    }
}
