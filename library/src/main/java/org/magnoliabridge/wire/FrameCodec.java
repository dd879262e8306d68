package org.magnoliabridge.wire;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.Arrays;
import org.magnoliabridge.ids.InvalidIdException;
import org.magnoliabridge.ids.NodeId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes frames: 4-byte length, version byte, HMAC-SHA256, MessagePack array
 * {@code [type, sender, request_id, sequence, body]}.
 */
final class FrameCodec {
    /** Largest value of the length field, in bytes. */
    static final int MAX_BYTES = 1 << 20;

    /** Largest body of a frame, in bytes; the rest is for the other fields. */
    static final int MAX_BODY_BYTES = MAX_BYTES - (1 << 10);

    /** Largest Hello, in bytes; limits the memory that an unauthenticated peer can make a node allocate. */
    static final int MAX_HELLO_BYTES = 1 << 10;

    private static final byte VERSION = 1;
    private static final int FIXED_BYTES = 1 + MacKey.BYTES;
    private static final int FIELDS = 5;
    private static final int MAX_ID_BYTES = 128;

    private FrameCodec() {}

    /** Returns an encoded frame, including the length field; fails if it exceeds {@link #MAX_BYTES}. */
    static byte[] encode(Frame frame, long sequence, MacKey key) throws FrameException {
        byte[] array = pack(frame, sequence);
        if (FIXED_BYTES + array.length > MAX_BYTES) {
            throw new FrameException(FrameException.Reason.OVERSIZED);
        }
        return ByteBuffer.allocate(Integer.BYTES + FIXED_BYTES + array.length)
                .putInt(FIXED_BYTES + array.length)
                .put(VERSION)
                .put(key.sign(new byte[] {VERSION}, array))
                .put(array)
                .array();
    }

    /** Reads the length and the bytes after it; a length above the limit is rejected before memory is allocated. */
    static byte[] read(DataInputStream in, int maxBytes) throws IOException {
        try {
            int length = in.readInt();
            if (length < 0 || length > maxBytes) {
                throw new FrameException(FrameException.Reason.OVERSIZED);
            }
            if (length < FIXED_BYTES) {
                throw new FrameException(FrameException.Reason.TRUNCATED);
            }
            byte[] bytes = new byte[length];
            in.readFully(bytes);
            return bytes;
        } catch (EOFException e) {
            throw new FrameException(FrameException.Reason.TRUNCATED);
        }
    }

    /** Returns the decoded frame; fails if the HMAC does not match or the sequence number is not the expected one. */
    static Frame decode(byte[] bytes, long expectedSequence, MacKey key) throws FrameException {
        if (bytes.length < FIXED_BYTES) {
            throw new FrameException(FrameException.Reason.TRUNCATED);
        }
        if (bytes[0] != VERSION) {
            throw new FrameException(FrameException.Reason.UNKNOWN_VERSION);
        }
        byte[] mac = Arrays.copyOfRange(bytes, 1, FIXED_BYTES);
        byte[] array = Arrays.copyOfRange(bytes, FIXED_BYTES, bytes.length);
        if (!MessageDigest.isEqual(mac, key.sign(new byte[] {VERSION}, array))) {
            throw new FrameException(FrameException.Reason.BAD_MAC);
        }
        return unpack(array, expectedSequence);
    }

    private static byte[] pack(Frame frame, long sequence) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(FIELDS)
                    .packInt(frame.type().number())
                    .packString(frame.sender().value())
                    .packLong(frame.requestId())
                    .packLong(sequence)
                    .packBinaryHeader(frame.body().length)
                    .writePayload(frame.body());
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("unexpected I/O error while encoding a frame in memory", e);
        }
    }

    private static Frame unpack(byte[] array, long expectedSequence) throws FrameException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(array)) {
            if (unpacker.unpackArrayHeader() != FIELDS) {
                throw new FrameException(FrameException.Reason.MALFORMED);
            }
            FrameType type = type(unpacker.unpackInt());
            BoundedReader reader = new BoundedReader(unpacker, array.length);
            NodeId sender = NodeId.parse(reader.text(MAX_ID_BYTES));
            long requestId = unpacker.unpackLong();
            long sequence = unpacker.unpackLong();
            byte[] body = reader.binary();
            if (unpacker.hasNext()) {
                throw new FrameException(FrameException.Reason.MALFORMED);
            }
            if (sequence != expectedSequence) {
                throw new FrameException(FrameException.Reason.BAD_SEQUENCE);
            }
            return new Frame(type, sender, requestId, body);
        } catch (FrameException e) {
            throw e;
        } catch (IOException | MessagePackException | InvalidIdException e) {
            throw new FrameException(FrameException.Reason.MALFORMED);
        }
    }

    private static FrameType type(int number) throws FrameException {
        for (FrameType type : FrameType.values()) {
            if (type.number() == number) {
                return type;
            }
        }
        throw new FrameException(FrameException.Reason.UNKNOWN_TYPE);
    }
}
