package org.magnoliabridge.usage;

/** Thrown when usage counts, a sealed window or the head of the windows cannot be decoded. */
public final class MalformedUsageException extends Exception {
    MalformedUsageException(String message, Throwable cause) {
        super(message, cause);
    }
}
