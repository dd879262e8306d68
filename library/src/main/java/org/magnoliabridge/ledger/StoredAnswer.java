package org.magnoliabridge.ledger;

import java.util.Arrays;
import java.util.Objects;

/**
 * The back end's answer to a call that ran, as the ledger keeps it.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body; empty if there was none
 * @param body the body; not copied, callers must not change it
 * @param complete false if the ledger did not keep the body and the content type, which are then empty
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredAnswer(int status, String contentType, byte[] body, boolean complete) {
    /** Largest body that the ledger keeps, in bytes. */
    public static final int MAX_BODY_BYTES = 4 * 1024;

    private static final int MAX_CONTENT_TYPE_CHARS = 100;

    public StoredAnswer {
        Objects.requireNonNull(contentType);
        Objects.requireNonNull(body);
    }

    /** Returns an answer with its complete body. */
    public static StoredAnswer of(int status, String contentType, byte[] body) {
        return new StoredAnswer(status, contentType, body, true);
    }

    /** Returns this answer, without its body if the body or the content type is too long for the ledger. */
    StoredAnswer withinLimits() {
        boolean fits = body.length <= MAX_BODY_BYTES && contentType.length() <= MAX_CONTENT_TYPE_CHARS;
        return fits ? this : withoutBody();
    }

    StoredAnswer withoutBody() {
        return new StoredAnswer(status, "", new byte[0], false);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StoredAnswer that
                && status == that.status
                && complete == that.complete
                && contentType.equals(that.contentType)
                && Arrays.equals(body, that.body);
    }

    @Override
    public int hashCode() {
        return 31 * status + Arrays.hashCode(body);
    }
}
