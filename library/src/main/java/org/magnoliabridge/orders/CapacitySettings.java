package org.magnoliabridge.orders;

/**
 * Times of the capacity decision, in milliseconds.
 *
 * @param holdMs how long a place must need fewer endpoints before one is stopped there
 * @param closedMs how long a place is avoided after it refused an order or took an endpoint back
 * @param drainLimitMs longest drain before an endpoint is stopped all the same
 */
public record CapacitySettings(long holdMs, long closedMs, long drainLimitMs) {
    /** Ten minutes of hold bridge the pauses between steps; reclaimed capacity rarely returns within five. */
    public static final CapacitySettings DEFAULT = new CapacitySettings(600_000, 300_000, 900_000);

    public CapacitySettings {
        if (holdMs < 0 || closedMs < 0 || drainLimitMs < 1) {
            throw new IllegalArgumentException("times must not be negative");
        }
    }
}
