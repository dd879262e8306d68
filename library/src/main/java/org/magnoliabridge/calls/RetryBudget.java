package org.magnoliabridge.calls;

/**
 * Limits retries to 10 % of calls, so that retries don't multiply the load when many calls fail.
 *
 * <p>Each hop has its own budget and only the caller of that hop retries, so retries are never nested. Thread-safe.
 */
public final class RetryBudget {
    private static final double RETRIES_PER_CALL = 0.1;
    // Initial and maximum number of available retries, so that a node with few calls can retry too.
    private static final double MAX_AVAILABLE = 10;

    private double available = MAX_AVAILABLE;

    /** Adds to the budget for a call; not called for retries. */
    public synchronized void onCall() {
        available = Math.min(MAX_AVAILABLE, available + RETRIES_PER_CALL);
    }

    /** Takes one retry from the budget; returns false if there is none left. */
    public synchronized boolean tryAcquire() {
        if (available < 1) {
            return false;
        }
        available -= 1;
        return true;
    }
}
