package org.magnoliabridge.lease;

/**
 * Times of a lease, in milliseconds.
 *
 * @param durationMs how long a lease object must stay unchanged before another candidate may acquire the lease
 * @param renewMs renewal period
 * @param marginMs how long before the expiry on its own clock a holder stops sending
 * @param takeoverWaitMs how long a new holder waits before its first order; at least the send deadline of orders
 * @param retryMs delay after a failed call
 */
public record LeaseSettings(long durationMs, long renewMs, long marginMs, long takeoverWaitMs, long retryMs) {
    /**
     * The default times. A holder may be paused for up to the margin plus the takeover wait before a late order of its
     * own can overlap with orders of the next holder.
     */
    public static final LeaseSettings DEFAULT = new LeaseSettings(10_000, 3_000, 3_000, 2_000, 500);

    public LeaseSettings {
        if (renewMs < 1 || retryMs < 1 || marginMs < 0 || takeoverWaitMs < 0 || durationMs <= renewMs + marginMs) {
            throw new IllegalArgumentException(
                    "lease times out of range: durationMs must exceed renewMs plus marginMs, renewMs and retryMs must"
                            + " be at least 1, marginMs and takeoverWaitMs must not be negative");
        }
    }
}
