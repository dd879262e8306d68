package org.magnoliabridge.routing;

/** Measures a token rate as an exponentially weighted moving average. Deterministic and not thread-safe. */
final class DemandMeter {
    // Equal to the burst period of a token bucket, so that shares change no faster than the buckets do.
    private static final double TIME_CONSTANT_MS = 10_000;
    private static final double MS_PER_SECOND = 1_000;

    private double tokensPerMs;
    private long updatedAtMs;

    DemandMeter(long nowMs) {
        updatedAtMs = nowMs;
    }

    void add(double tokens, long nowMs) {
        decay(nowMs);
        tokensPerMs += tokens / TIME_CONSTANT_MS;
    }

    double tokensPerSecond(long nowMs) {
        decay(nowMs);
        return tokensPerMs * MS_PER_SECOND;
    }

    private void decay(long nowMs) {
        tokensPerMs *= Math.exp(-(nowMs - updatedAtMs) / TIME_CONSTANT_MS);
        updatedAtMs = nowMs;
    }
}
