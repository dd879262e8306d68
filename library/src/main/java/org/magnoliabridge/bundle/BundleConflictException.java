package org.magnoliabridge.bundle;

/** Thrown when another operator's change was accepted first; nothing of this change is in force. */
public final class BundleConflictException extends Exception {
    BundleConflictException(String message) {
        super(message);
    }
}
