package org.magnoliabridge.calls;

/** Thrown when an engine sent no properly terminated response. */
public abstract sealed class EngineFailure extends Exception {
    EngineFailure(String message, Throwable cause) {
        super(message, cause);
    }

    /** No byte of the request was written. */
    public static final class NotSent extends EngineFailure {
        public NotSent(Throwable cause) {
            super("the engine could not be reached", cause);
        }
    }

    /** The connection failed after at least one byte was written. */
    public static final class Lost extends EngineFailure {
        public Lost(Throwable cause) {
            super("the connection to the engine was lost or silent", cause);
        }
    }

    /** The engine responded with an error status. */
    public static final class Refused extends EngineFailure {
        private final BackEndRefusal refusal;

        public Refused(BackEndRefusal refusal) {
            super("the engine answered with status " + refusal.status(), null);
            this.refusal = refusal;
        }

        /** Returns the parsed error response. */
        public BackEndRefusal refusal() {
            return refusal;
        }
    }
}
