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
    public static sealed class Lost extends HttpFailure {
        public Lost(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /**
     * A connection that had served an earlier call failed before any byte of the answer. Servers may close idle
     * connections without notice, so this shows no fault of the server; the call may have been executed all the same.
     */
    public static final class ReusedConnectionLost extends Lost {
        public ReusedConnectionLost(Throwable cause) {
            super("the reused connection failed before the answer", cause);
        }
    }

    /** The answer names no request and is not marked as the server's, as when a server rejects what it cannot parse. */
    public static final class Unidentified extends Lost {
        public Unidentified(String message) {
            super(message, null);
        }
    }

    /** The answer exceeds the size limit of the call, or the memory for all answers; the call was executed. */
    public static sealed class TooLarge extends HttpFailure {
        public TooLarge(int bytes) {
            super("the answer is larger than " + bytes + " bytes", null);
        }

        private TooLarge(String message) {
            super(message, null);
        }
    }

    /** This process has no room for the answer, which is no fault of the server; the call was executed. */
    public static final class NoRoom extends TooLarge {
        public NoRoom(int bytes) {
            super("no room for more than " + bytes + " bytes of the answer");
        }
    }
}
