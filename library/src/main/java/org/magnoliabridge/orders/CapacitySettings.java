package org.magnoliabridge.orders;

/**
 * Times of the capacity decision, in milliseconds.
 *
 * @param scaleDownDelayMs how long a place must need fewer endpoints before one is stopped there
 * @param avoidanceMs how long a place is avoided after it refused an order or took an endpoint back
 * @param drainLimitMs longest drain before an endpoint is stopped all the same
 */
public record CapacitySettings(long scaleDownDelayMs, long avoidanceMs, long drainLimitMs) {
    /** Ten minutes of hold bridge the pauses between steps; reclaimed capacity rarely returns within five. */
    public static final CapacitySettings DEFAULT = new CapacitySettings(600_000, 300_000, 900_000);

    public CapacitySettings {
        if (scaleDownDelayMs < 0 || avoidanceMs < 0 || drainLimitMs < 1) {
            throw new IllegalArgumentException("times must not be negative");
        }
    }
}
