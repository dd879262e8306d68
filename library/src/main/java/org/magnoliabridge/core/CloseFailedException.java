package org.magnoliabridge.core;

/** Thrown when a resource could not be closed. */
public final class CloseFailedException extends Exception {
    CloseFailedException(Exception cause) {
        super("a resource failed to close: " + cause.getMessage(), cause);
    }
}
