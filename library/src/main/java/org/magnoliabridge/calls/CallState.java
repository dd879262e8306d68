package org.magnoliabridge.calls;

/** The most advanced state of a call; determines the execution status that a failure reports. */
public enum CallState {
    /** No byte was written to a back-end connection. */
    QUEUED,
    /** At least one byte may have been written; entered before the first write. */
    SENT,
    /** The back end has begun to respond. */
    ANSWERED;

    /** Returns whether a call in this state ran. */
    public ExecutionStatus executionStatus() {
        return switch (this) {
            case QUEUED -> ExecutionStatus.NOT_RUN;
            case SENT -> ExecutionStatus.UNKNOWN;
            case ANSWERED -> ExecutionStatus.RAN;
        };
    }
}
