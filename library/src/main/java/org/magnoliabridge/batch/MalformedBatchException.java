package org.magnoliabridge.batch;

/** Thrown when a stored or received record of a batch cannot be read. */
public final class MalformedBatchException extends Exception {
    public MalformedBatchException(String message) {
        super(message);
    }

    public MalformedBatchException(String message, Throwable cause) {
        super(message, cause);
    }
}
