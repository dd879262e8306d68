package org.magnoliabridge.wire;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessageUnpacker;

/** Reads texts and bytes of a MessagePack message whose lengths come from another node. */
public final class BoundedReader {
    private final MessageUnpacker unpacker;
    private final int maxBytes;

    /**
     * Creates a reader.
     *
     * @param maxBytes size of the message; nothing is set aside for a length above it
     */
    public BoundedReader(MessageUnpacker unpacker, int maxBytes) {
        this.unpacker = unpacker;
        this.maxBytes = maxBytes;
    }

    /** Returns the unpacker for values of other types. */
    public MessageUnpacker unpacker() {
        return unpacker;
    }

    /** Reads a text. */
    public String text() throws IOException {
        return new String(payload(unpacker.unpackRawStringHeader(), maxBytes), StandardCharsets.UTF_8);
    }

    /** Reads bytes. */
    public byte[] binary() throws IOException {
        return payload(unpacker.unpackBinaryHeader(), maxBytes);
    }

    /** Reads a text of at most some bytes. */
    String text(int max) throws IOException {
        return new String(payload(unpacker.unpackRawStringHeader(), max), StandardCharsets.UTF_8);
    }

    private byte[] payload(int length, int max) throws IOException {
        if (length > max) {
            throw new FrameException(FrameException.Reason.MALFORMED);
        }
        return unpacker.readPayload(length);
    }
}
