package org.magnoliabridge.lease;

/**
 * Times of a lease, in milliseconds.
 *
 * @param durationMs how long a lease object must stay unchanged before another candidate may take it
 * @param renewMs period of renewal
 * @param marginMs how long before its own view of the expiry a holder stops sending
 * @param takeoverWaitMs how long a new holder waits before its first order; the send deadline of the orders
 * @param retryMs wait after a call that failed
 */
public record LeaseSettings(long durationMs, long renewMs, long marginMs, long takeoverWaitMs, long retryMs) {
    /** The times of the design: a process may be paused for margin plus wait before a late order can overlap. */
    public static final LeaseSettings DEFAULT = new LeaseSettings(10_000, 3_000, 3_000, 2_000, 500);

    public LeaseSettings {
        if (renewMs < 1 || retryMs < 1 || marginMs < 0 || takeoverWaitMs < 0 || durationMs <= renewMs + marginMs) {
            throw new IllegalArgumentException("a lease must outlast its renewal period plus its margin");
        }
    }
}
