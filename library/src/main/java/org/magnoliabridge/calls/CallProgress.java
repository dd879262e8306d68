package org.magnoliabridge.calls;

/**
 * Tracks the state of one call over all its attempts.
 *
 * <p>An attempt of which it is proved that it did not run returns the call to the state before that attempt.
 */
public final class CallProgress {
    private CallState before = CallState.QUEUED;
    private CallState state = CallState.QUEUED;

    /** Marks the start of an attempt; called before the first byte is written. */
    public synchronized void attemptStarted() {
        before = state;
        state = max(state, CallState.SENT);
    }

    /** Marks that the back end has begun to answer. */
    public synchronized void answered() {
        state = CallState.ANSWERED;
    }

    /** Withdraws the current attempt: no byte was written, or the back end said that it did not run the request. */
    public synchronized void notRun() {
        state = before;
    }

    /** Returns the furthest point reached. */
    public synchronized CallState state() {
        return state;
    }

    /** Returns what may be said about this call now. */
    public ExecutionStatus executionStatus() {
        return state().executionStatus();
    }

    private static CallState max(CallState one, CallState other) {
        return one.compareTo(other) >= 0 ? one : other;
    }
}
