package org.magnoliabridge.membership;

/** Thrown when the body of a message cannot be read. */
final class MalformedMessageException extends Exception {
    MalformedMessageException(Throwable cause) {
        super("malformed message body", cause);
    }
}
