package org.magnoliabridge.orders;

/**
 * Durations that {@link CapacityCore} applies, in milliseconds.
 *
 * @param scaleDownDelayMs how long a pool must need fewer endpoints before it is scaled down
 * @param avoidanceMs how long a pool is avoided after an order there was refused or an endpoint was reclaimed
 * @param drainLimitMs maximum drain time, after which the endpoint is stopped even if it still has calls
 */
public record CapacitySettings(long scaleDownDelayMs, long avoidanceMs, long drainLimitMs) {
    /**
     * Default durations. A scale-down delay of 10 min spans the pauses between training steps. Reclaimed capacity
     * rarely returns within the 5 min of avoidance.
     */
    public static final CapacitySettings DEFAULT = new CapacitySettings(600_000, 300_000, 900_000);

    public CapacitySettings {
        if (scaleDownDelayMs < 0 || avoidanceMs < 0 || drainLimitMs < 1) {
            throw new IllegalArgumentException(
                    "scaleDownDelayMs and avoidanceMs must be at least 0, drainLimitMs at least 1");
        }
    }
}
