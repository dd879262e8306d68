package org.magnoliabridge.orders;

/**
 * Limits of a weight rollout.
 *
 * @param loadsPerSecond load rate of the weight store for the whole system
 * @param burst number of loads that the store allows in a burst
 * @param swapTimeoutMs time from an order until the engine must report the version, in milliseconds
 * @param retries how often a failed swap is retried before the engine is excluded
 * @param retryMs delay before a failed swap is retried, in milliseconds
 * @param concurrentSwapDivisor at most one in this many engines of a service may swap at once
 * @param minConcurrentSwaps number of engines of a service that may swap at once even if that is more, as long as it
 *     is at most half
 * @param permits whether each load needs a permit from the weight store
 */
public record WeightsSettings(
        double loadsPerSecond,
        int burst,
        long swapTimeoutMs,
        int retries,
        long retryMs,
        int concurrentSwapDivisor,
        int minConcurrentSwaps,
        boolean permits) {
    public WeightsSettings {
        if (loadsPerSecond <= 0 || burst < 1 || swapTimeoutMs < 1 || retries < 0 || retryMs < 1) {
            throw new IllegalArgumentException(
                    "loadsPerSecond, burst, swapTimeoutMs and retryMs must be positive, retries not negative");
        }
        if (concurrentSwapDivisor < 1) {
            throw new IllegalArgumentException("concurrentSwapDivisor must be positive: " + concurrentSwapDivisor);
        }
    }

    /** Returns the default limits for a weight store with the given load rate. */
    public static WeightsSettings forRate(double loadsPerSecond, int burst) {
        return new WeightsSettings(loadsPerSecond, burst, 8_000, 3, 500, 4, 1, true);
    }

    /**
     * Returns limits for engines that load from a shared store without permits, which serves two loads at the speed of
     * one. A swap seems to take a third longer than the load, because reports lag, so that of a third of the engines a
     * quarter load at once. An engine that does not load a version is ordered again for as long as it exists.
     */
    public static WeightsSettings withoutPermits() {
        return new WeightsSettings(1_000, 1_000, 4_000, Integer.MAX_VALUE, 300, 3, 2, false);
    }
}
