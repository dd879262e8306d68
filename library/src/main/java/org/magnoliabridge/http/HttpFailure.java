package org.magnoliabridge.http;

/** Thrown when a call has no whole answer; callers switch on the kind to decide whether it may be repeated. */
public abstract sealed class HttpFailure extends Exception {
    HttpFailure(String message, Throwable cause) {
        super(message, cause);
    }

    /** No byte of the request was written to a connection, so the call certainly did not run. */
    public static final class NotSent extends HttpFailure {
        public NotSent(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** The request was at least partly written and no whole answer came; the call may have run. */
    public static final class Lost extends HttpFailure {
        public Lost(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** The answer is larger than the call allows; the call ran. */
    public static final class TooLarge extends HttpFailure {
        public TooLarge(int maxBytes) {
            super("the answer is larger than " + maxBytes + " bytes", null);
        }
    }
}
