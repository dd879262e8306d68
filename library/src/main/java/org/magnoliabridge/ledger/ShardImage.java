package org.magnoliabridge.ledger;

import java.io.IOException;
import java.util.Collection;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import org.magnoliabridge.ledger.LedgerRecord.State;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** A mutable copy of one shard's records, and its MessagePack encoding. */
final class ShardImage {
    /** Largest encoded size, below the object API's limit of 1 MiB; sizes are estimated by upper bounds. */
    static final int MAX_BYTES = 960 * 1024;

    private static final int FORMAT_VERSION = 1;

    private final Map<String, LedgerRecord> records;
    private int maxBytes;

    ShardImage() {
        records = new LinkedHashMap<>();
    }

    private ShardImage(ShardImage other) {
        records = new LinkedHashMap<>(other.records);
        maxBytes = other.maxBytes;
    }

    ShardImage copy() {
        return new ShardImage(this);
    }

    LedgerRecord get(String key) {
        return records.get(key);
    }

    Collection<LedgerRecord> records() {
        return records.values();
    }

    void put(LedgerRecord entry) {
        LedgerRecord old = records.put(entry.key(), entry);
        maxBytes += entry.maxBytes() - (old == null ? 0 : old.maxBytes());
    }

    void prune(long beforeMs) {
        records.values().removeIf(r -> {
            boolean old = r.timeMs() < beforeMs;
            if (old) {
                maxBytes -= r.maxBytes();
            }
            return old;
        });
    }

    /**
     * Drops the bodies of the oldest answers if there is no space for one more claim.
     *
     * @return whether there is space for one more claim
     */
    boolean makeSpace() {
        if (maxBytes + LedgerRecord.FIXED_BYTES > MAX_BYTES) {
            dropBodies();
        }
        return maxBytes + LedgerRecord.FIXED_BYTES <= MAX_BYTES;
    }

    /** Drops bodies, oldest first, until the encoding fits; the fixed part of each record always fits. */
    void dropBodies() {
        for (LedgerRecord r : records.values().stream()
                .filter(LedgerRecord::hasBody)
                .sorted((a, b) -> Long.compare(a.timeMs(), b.timeMs()))
                .toList()) {
            if (maxBytes + LedgerRecord.FIXED_BYTES <= MAX_BYTES) {
                return;
            }
            put(r.withoutBody());
        }
    }

    byte[] encode() {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(2).packInt(FORMAT_VERSION).packArrayHeader(records.size());
            for (LedgerRecord r : records.values()) {
                encode(out, r);
            }
            return out.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("I/O error on an in-memory buffer", e);
        }
    }

    private static void encode(MessageBufferPacker out, LedgerRecord r) throws IOException {
        out.packArrayHeader(r.answer() == null ? 5 : 9);
        packHash(out, r.key());
        packHash(out, r.digest());
        out.packString(r.state().name());
        packHash(out, r.token());
        out.packLong(r.timeMs());
        StoredAnswer answer = r.answer();
        if (answer != null) {
            out.packInt(answer.status()).packString(answer.contentType()).packBoolean(answer.complete());
            out.packBinaryHeader(answer.body().length).writePayload(answer.body());
        }
    }

    private static void packHash(MessageBufferPacker out, String hex) throws IOException {
        out.packBinaryHeader(LedgerKey.HASH_BYTES).writePayload(HexFormat.of().parseHex(hex));
    }

    static ShardImage decode(byte[] value) throws MalformedShardException {
        ShardImage image = new ShardImage();
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(value)) {
            if (in.unpackArrayHeader() != 2 || in.unpackInt() != FORMAT_VERSION) {
                throw new MalformedShardException("unknown format", null);
            }
            int count = in.unpackArrayHeader();
            for (int i = 0; i < count; i++) {
                image.put(decode(in));
            }
            return image;
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new MalformedShardException("cannot be decoded", e);
        }
    }

    private static LedgerRecord decode(MessageUnpacker in) throws IOException {
        int fields = in.unpackArrayHeader();
        String key = unpackHash(in);
        String digest = unpackHash(in);
        State state = State.valueOf(in.unpackString());
        String token = unpackHash(in);
        long time = in.unpackLong();
        StoredAnswer answer = null;
        if (fields == 9) {
            int status = in.unpackInt();
            String contentType = in.unpackString();
            boolean whole = in.unpackBoolean();
            answer = new StoredAnswer(status, contentType, in.readPayload(in.unpackBinaryHeader()), whole);
        }
        return new LedgerRecord(key, digest, state, token, time, answer);
    }

    private static String unpackHash(MessageUnpacker in) throws IOException {
        return HexFormat.of().formatHex(in.readPayload(in.unpackBinaryHeader()));
    }

    /** Thrown when a shard object cannot be decoded. */
    static final class MalformedShardException extends Exception {
        MalformedShardException(String message, Throwable cause) {
            super("ledger shard: " + message, cause);
        }
    }
}
