package org.magnoliabridge.wire;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessageUnpacker;

/** Reads strings and byte arrays from a MessagePack message and rejects lengths that exceed the limit. */
public final class BoundedReader {
    private final MessageUnpacker unpacker;
    private final int maxBytes;

    /**
     * Creates a reader.
     *
     * @param maxBytes size of the message in bytes; a larger length field is rejected before memory is allocated
     */
    public BoundedReader(MessageUnpacker unpacker, int maxBytes) {
        this.unpacker = unpacker;
        this.maxBytes = maxBytes;
    }

    /** Returns the unpacker for values of other types. */
    public MessageUnpacker unpacker() {
        return unpacker;
    }

    /** Reads a UTF-8 string. */
    public String text() throws IOException {
        return new String(payload(unpacker.unpackRawStringHeader(), maxBytes), StandardCharsets.UTF_8);
    }

    /** Reads a byte array. */
    public byte[] binary() throws IOException {
        return payload(unpacker.unpackBinaryHeader(), maxBytes);
    }

    /** Reads a UTF-8 string of at most {@code max} bytes. */
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
