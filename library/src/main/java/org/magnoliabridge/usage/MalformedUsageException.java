package org.magnoliabridge.usage;

/** Thrown when counts or a sealed window can't be understood. */
public final class MalformedUsageException extends Exception {
    MalformedUsageException(String message, Throwable cause) {
        super(message, cause);
    }
}
