package org.magnoliabridge.external;

import java.util.random.RandomGenerator;

/**
 * Exponential back-off with jitter: computes the delays between retries.
 *
 * <p>Each delay is uniformly distributed between half of the current bound and the bound, so that clients that failed
 * at the same time do not retry at the same time.
 */
public final class Backoff {
    private final long firstMs;
    private final long maxMs;
    private final RandomGenerator random;
    private long boundMs;

    /**
     * Creates a back-off.
     *
     * @param firstMs bound of the first delay, in milliseconds
     * @param maxMs largest bound, in milliseconds
     */
    public Backoff(long firstMs, long maxMs, RandomGenerator random) {
        if (firstMs < 1 || maxMs < firstMs) {
            throw new IllegalArgumentException(
                    "expected 1 <= firstMs <= maxMs, got firstMs " + firstMs + " and maxMs " + maxMs);
        }
        this.firstMs = firstMs;
        this.maxMs = maxMs;
        this.random = random;
        this.boundMs = firstMs;
    }

    /** Returns the next delay in milliseconds and doubles the bound. */
    public long nextDelayMs() {
        long low = (boundMs + 1) / 2;
        long delay = low + random.nextLong(boundMs - low + 1);
        boundMs = Math.min(maxMs, boundMs * 2);
        return delay;
    }

    /** Resets the bound to that of the first delay; called after a success. */
    public void reset() {
        boundMs = firstMs;
    }
}
