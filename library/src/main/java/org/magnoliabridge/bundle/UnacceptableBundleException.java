package org.magnoliabridge.bundle;

import java.util.Locale;

/** Thrown when a received bundle, head or list of withdrawals is rejected. */
public final class UnacceptableBundleException extends Exception {
    private final Reason reason;

    UnacceptableBundleException(Reason reason) {
        super("bundle not accepted: " + reason.name().toLowerCase(Locale.ROOT));
        this.reason = reason;
    }

    /** Returns why it was rejected. */
    public Reason reason() {
        return reason;
    }

    /** Why it was rejected. */
    public enum Reason {
        /** The bytes cannot be read. */
        MALFORMED,
        /** No accepted operator key signed this version and content. */
        BAD_SIGNATURE,
        /** The content is not the one that the head names. */
        WRONG_CONTENT,
        /** The content is signed but breaks a rule of {@link BundleValidation}. */
        INVALID
    }
}
