package org.magnoliabridge.calls;

import java.util.Optional;

/** Why a generation ended. */
public enum FinishReason {
    /** The model finished its text. */
    STOP("stop"),
    /** The token limit was reached. */
    LENGTH("length");

    private final String text;

    FinishReason(String text) {
        this.text = text;
    }

    /** Returns the value that represents the reason in JSON. */
    public String text() {
        return text;
    }

    /** Returns the reason for a JSON value, or empty if the value is unknown. */
    public static Optional<FinishReason> of(String text) {
        for (FinishReason reason : values()) {
            if (reason.text.equals(text)) {
                return Optional.of(reason);
            }
        }
        return Optional.empty();
    }
}
