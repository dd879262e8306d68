package org.magnoliabridge.external;

import java.util.random.RandomGenerator;

/**
 * Gives growing, jittered delays between retries.
 *
 * <p>Each delay is drawn evenly from half to all of the current bound, so that many clients that failed together do not
 * return together.
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
            throw new IllegalArgumentException("delays must be at least 1 ms and rising");
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

    /** Starts again from the first delay, after a success. */
    public void reset() {
        boundMs = firstMs;
    }
}
