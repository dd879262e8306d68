package org.magnoliabridge.orders;

/**
 * Limits of a weight roll-out.
 *
 * @param loadsPerSecond rate of the weight store for the whole system
 * @param burst loads that the store allows at once
 * @param swapTimeoutMs time from an order until the engine must report the version, in milliseconds
 * @param retries how often a failed swap is tried again before the engine is taken out
 * @param retryMs wait before a failed swap is tried again, in milliseconds
 * @param minConcurrentSwaps engines of a service that may swap at once although they are more than a quarter, if half are left
 * @param permits whether the weight store grants a permit for each load
 */
public record WeightsSettings(
        double loadsPerSecond,
        int burst,
        long swapTimeoutMs,
        int retries,
        long retryMs,
        int minConcurrentSwaps,
        boolean permits) {
    public WeightsSettings {
        if (loadsPerSecond <= 0 || burst < 1 || swapTimeoutMs < 1 || retries < 0 || retryMs < 1) {
            throw new IllegalArgumentException("rates and times must be positive");
        }
    }

    /** Returns the limits of the design for a store of the given rate. */
    public static WeightsSettings forRate(double loadsPerSecond, int burst) {
        return new WeightsSettings(loadsPerSecond, burst, 8_000, 3, 500, 1, true);
    }

    /**
     * Returns the limits of a deployment whose engines load from a store that they share, without permits; it serves
     * two of them at the pace of one. An engine that misses an order is ordered again for as long as it lives.
     */
    public static WeightsSettings withoutPermits() {
        return new WeightsSettings(1_000, 1_000, 4_000, Integer.MAX_VALUE, 300, 2, false);
    }
}
