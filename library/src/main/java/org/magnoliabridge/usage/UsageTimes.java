package org.magnoliabridge.usage;

/**
 * Times of usage windows, in milliseconds.
 *
 * @param windowMs length of a window, the same on all nodes
 * @param graceMs time after a window's end in which the nodes' counts of it arrive
 * @param settleMs time in which the other nodes send a new holder of the lease their counts, before it seals anything
 */
public record UsageTimes(long windowMs, long graceMs, long settleMs) {
    private static final long DEFAULT_GRACE_MS = 10_000;
    private static final long DEFAULT_SETTLE_MS = 8_000;

    public UsageTimes {
        if (windowMs < 1 || graceMs < 0 || settleMs < 0) {
            throw new IllegalArgumentException("a window lasts at least 1 ms and times are not negative");
        }
    }

    /** Returns the times of a deployment whose reports have no due time. */
    public static UsageTimes withoutDueTime(long windowMs) {
        return new UsageTimes(windowMs, DEFAULT_GRACE_MS, DEFAULT_SETTLE_MS);
    }

    /** Returns the times for reports that are due some time after a window's end. */
    public static UsageTimes withDueTime(long windowMs, long dueMs) {
        // Counts are copied each 0.8 s. The rest of the time is for a new holder, and for reports that are repeated.
        return new UsageTimes(windowMs, dueMs / 4, dueMs / 5);
    }
}
