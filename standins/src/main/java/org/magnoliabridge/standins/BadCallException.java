package org.magnoliabridge.standins;

/** Thrown when a call can't be understood; answered with status 400. */
final class BadCallException extends Exception {
    BadCallException(String message) {
        super(message);
    }
}
