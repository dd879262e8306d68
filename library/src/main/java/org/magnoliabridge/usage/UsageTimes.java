package org.magnoliabridge.usage;

/**
 * Times of usage windows, in milliseconds.
 *
 * @param windowMs length of a window, the same on all nodes
 * @param graceMs time after a window's end in which the nodes' counts for it can arrive before it is sealed
 * @param settleMs time that a new holder of the lease waits for the other nodes' counts before it seals a window
 */
public record UsageTimes(long windowMs, long graceMs, long settleMs) {
    private static final long DEFAULT_GRACE_MS = 10_000;
    private static final long DEFAULT_SETTLE_MS = 8_000;

    public UsageTimes {
        if (windowMs < 1 || graceMs < 0 || settleMs < 0) {
            throw new IllegalArgumentException("windowMs must be at least 1, graceMs and settleMs at least 0: "
                    + windowMs + ", " + graceMs + ", " + settleMs);
        }
    }

    /** Returns the times of a deployment whose reports have no due time. */
    public static UsageTimes withoutDueTime(long windowMs) {
        return new UsageTimes(windowMs, DEFAULT_GRACE_MS, DEFAULT_SETTLE_MS);
    }

    /** Returns the times for reports that are due {@code dueMs} after a window's end. */
    public static UsageTimes withDueTime(long windowMs, long dueMs) {
        // Counts are copied every 0.8 s. The rest of the time is left for a new lease holder and for report retries.
        return new UsageTimes(windowMs, dueMs / 4, dueMs / 5);
    }
}
