package org.magnoliabridge.calls;

import java.util.Objects;

/** Thrown when a call ends without a complete response. */
public final class CallException extends Exception {
    private final transient Failure failure;
    private final ExecutionStatus executionStatus;

    public CallException(Failure failure, ExecutionStatus run) {
        this(failure, run, null);
    }

    public CallException(Failure failure, ExecutionStatus run, Throwable cause) {
        super(FailureAnswer.of(failure, run).message(), cause);
        this.failure = Objects.requireNonNull(failure);
        this.executionStatus = Objects.requireNonNull(run);
    }

    /** Returns an exception for a request that was not sent to any back end. */
    public static CallException notRun(Failure failure) {
        return new CallException(failure, ExecutionStatus.NOT_RUN);
    }

    /** Returns the reason for the failure. */
    public Failure failure() {
        return failure;
    }

    /** Returns whether the request ran at a back end. */
    public ExecutionStatus executionStatus() {
        return executionStatus;
    }
}
