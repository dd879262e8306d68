package org.magnoliabridge.calls;

/**
 * Limits retries to a share of calls, so that retries don't multiply the load when many calls fail.
 *
 * <p>There is one budget per hop, and only the caller of that hop retries, so retries are never nested. Thread-safe.
 */
public final class RetryBudget {
    private static final double RETRIES_PER_CALL = 0.1;
    // A node that has served few calls can still retry: saved-up retries start at, and never exceed, this number.
    private static final double MAX_AVAILABLE = 10;

    private double available = MAX_AVAILABLE;

    /** Counts a call that is not itself a retry. */
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
