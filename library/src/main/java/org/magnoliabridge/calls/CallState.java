package org.magnoliabridge.calls;

/** The furthest point that a call has reached; decides what a refusal may say. */
public enum CallState {
    /** No byte was written to a back-end connection. */
    QUEUED,
    /** At least one byte may have been written; set before the first write. */
    SENT,
    /** The back end has begun to answer. */
    ANSWERED;

    /** Returns what may truthfully be said about a call in this state. */
    public ExecutionStatus executionStatus() {
        return switch (this) {
            case QUEUED -> ExecutionStatus.NOT_RUN;
            case SENT -> ExecutionStatus.UNKNOWN;
            case ANSWERED -> ExecutionStatus.RAN;
        };
    }
}
