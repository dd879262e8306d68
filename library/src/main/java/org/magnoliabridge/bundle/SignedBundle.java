package org.magnoliabridge.bundle;

import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;
import org.magnoliabridge.ids.BundleVersion;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * The exact bytes of a bundle with the operators' signature; kept as received, because the signature covers the bytes.
 *
 * @param content the bundle as JSON; not copied, callers must not change it
 * @param signature Ed25519 over version and digest; not copied
 */
@SuppressWarnings("ArrayRecordComponent")
public record SignedBundle(BundleVersion version, byte[] content, byte[] signature) {
    public SignedBundle {
        Objects.requireNonNull(version);
        Objects.requireNonNull(content);
        Objects.requireNonNull(signature);
    }

    /** Returns SHA-256 of the content in hex. */
    public String digest() {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java platform has no SHA-256", e);
        }
    }

    /** Returns the encoding that nodes exchange. */
    public byte[] pack() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(3).packLong(version.value());
            packer.packBinaryHeader(content.length).writePayload(content);
            packer.packBinaryHeader(signature.length).writePayload(signature);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("unexpected I/O error while packing into memory", e);
        }
    }

    /** Reads the encoding that nodes exchange. */
    public static SignedBundle unpack(byte[] bytes) throws UnacceptableBundleException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackArrayHeader() != 3) {
                throw new UnacceptableBundleException(UnacceptableBundleException.Reason.MALFORMED);
            }
            BundleVersion version = new BundleVersion(unpacker.unpackLong());
            byte[] content = unpacker.readPayload(length(unpacker.unpackBinaryHeader(), bytes));
            byte[] signature = unpacker.readPayload(length(unpacker.unpackBinaryHeader(), bytes));
            return new SignedBundle(version, content, signature);
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new UnacceptableBundleException(UnacceptableBundleException.Reason.MALFORMED);
        }
    }

    // A received length is compared with the size of the message before memory is allocated for it.
    private static int length(int claimed, byte[] bytes) throws UnacceptableBundleException {
        if (claimed > bytes.length) {
            throw new UnacceptableBundleException(UnacceptableBundleException.Reason.MALFORMED);
        }
        return claimed;
    }
}
