package org.magnoliabridge.http;

/** Thrown when a call has no complete answer; the subclass tells whether the call may be repeated. */
public abstract sealed class HttpFailure extends Exception {
    HttpFailure(String message, Throwable cause) {
        super(message, cause);
    }

    /** No byte of the request was written to a connection, so the call was not executed. */
    public static final class NotSent extends HttpFailure {
        public NotSent(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** The request was at least partly written and no complete answer was received; the call may have been executed. */
    public static final class Lost extends HttpFailure {
        public Lost(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** The answer exceeds the size limit of the call; the call was executed. */
    public static final class TooLarge extends HttpFailure {
        public TooLarge(int maxBytes) {
            super("the answer is larger than " + maxBytes + " bytes", null);
        }
    }
}
