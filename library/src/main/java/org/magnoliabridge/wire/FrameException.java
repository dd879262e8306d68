package org.magnoliabridge.wire;

import java.io.IOException;
import java.util.Locale;

/** Thrown when bytes from a peer are not the next valid frame; the connection is then closed. */
public final class FrameException extends IOException {
    private final Reason reason;

    FrameException(Reason reason) {
        super("invalid frame: " + reason.name().toLowerCase(Locale.ROOT));
        this.reason = reason;
    }

    /** Returns why the frame is invalid. */
    public Reason reason() {
        return reason;
    }

    /** Why a frame is invalid. */
    public enum Reason {
        /** The stream ended, or the frame is shorter than its fixed part. */
        TRUNCATED,
        /** The length is above the limit. */
        OVERSIZED,
        /** The version byte is not known. */
        UNKNOWN_VERSION,
        /** The HMAC does not match: altered frame, wrong secret, or replay from another connection. */
        BAD_MAC,
        /** The content is not the expected array. */
        MALFORMED,
        /** The type number is not known. */
        UNKNOWN_TYPE,
        /** The sequence number is not the next one: a frame was repeated, lost or reordered. */
        BAD_SEQUENCE,
        /** The sender is not the node that the handshake identified. */
        WRONG_SENDER,
        /** The first frame is not a Hello. */
        NO_HELLO
    }
}
