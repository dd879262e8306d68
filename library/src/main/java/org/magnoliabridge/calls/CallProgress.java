package org.magnoliabridge.calls;

/**
 * Tracks the state of one call over all its attempts.
 *
 * <p>An attempt that provably did not run is undone: the call returns to its state before that attempt.
 */
public final class CallProgress {
    private CallState before = CallState.QUEUED;
    private CallState state = CallState.QUEUED;

    /** Records the start of an attempt; called before the first byte is written. */
    public synchronized void attemptStarted() {
        before = state;
        state = max(state, CallState.SENT);
    }

    /** Records that the back end has begun to respond. */
    public synchronized void answered() {
        state = CallState.ANSWERED;
    }

    /** Undoes the current attempt: no byte was written, or the back end stated that it did not run the request. */
    public synchronized void notRun() {
        state = before;
    }

    /** Returns the most advanced state reached. */
    public synchronized CallState state() {
        return state;
    }

    /** Returns whether the call has run, as far as is known. */
    public ExecutionStatus executionStatus() {
        return state().executionStatus();
    }

    private static CallState max(CallState one, CallState other) {
        return one.compareTo(other) >= 0 ? one : other;
    }
}
