package org.magnoliabridge.calls;

/** Whether a failed request ran at a back end. */
public enum ExecutionStatus {
    /** No byte of the request was written to a back end, or the back end stated that it did not run the request. */
    NOT_RUN("not_run"),
    /** The request was sent and its outcome is unknown. */
    UNKNOWN("unknown"),
    /** The back end began to respond, so the request ran. */
    RAN("ran");

    private final String text;

    ExecutionStatus(String text) {
        this.text = text;
    }

    /** Returns the value of the field {@code run} in an error body. */
    public String text() {
        return text;
    }
}
