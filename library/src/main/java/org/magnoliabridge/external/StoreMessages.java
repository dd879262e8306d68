package org.magnoliabridge.external;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliabridge.wire.BoundedReader;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes in MessagePack the store calls that one node makes on behalf of another, and their results. */
public final class StoreMessages {
    private StoreMessages() {}

    /** A store call that a node asks another node to make. */
    public sealed interface Call {
        /** Makes a request. */
        record Request(StoreRequest request) implements Call {}

        /** Waits for changes. */
        record Watch(String prefix, long sinceRevision, long waitMs) implements Call {}
    }

    /** The result of a call. */
    public sealed interface Result {
        /** The store's reply. */
        record Replied(StoreReply reply) implements Result {}

        /** The changes since the revision are no longer known. */
        record TooOld() implements Result {}
    }

    private enum Kind {
        READ(1),
        WRITE(2),
        DELETE(3),
        LIST(4),
        WATCH(5),
        FOUND(11),
        NOT_FOUND(12),
        WRITTEN(13),
        CONFLICT(14),
        LISTED(15),
        UNAVAILABLE(16),
        UNKNOWN(17),
        TOO_OLD(18);

        private final int number;

        Kind(int number) {
            this.number = number;
        }

        static Kind of(int number) throws PlatformException.Malformed {
            for (Kind kind : values()) {
                if (kind.number == number) {
                    return kind;
                }
            }
            throw new PlatformException.Malformed("unknown kind of message: " + number, null);
        }
    }

    private interface Packing {
        void pack(MessageBufferPacker packer) throws IOException;
    }

    private interface Unpacking<T> {
        T unpack(Kind kind, BoundedReader reader) throws IOException, PlatformException.Malformed;
    }

    /** Packs a call. */
    public static byte[] pack(Call call) {
        return switch (call) {
            case Call.Watch watch ->
                packed(
                        Kind.WATCH,
                        p -> p.packString(watch.prefix())
                                .packLong(watch.sinceRevision())
                                .packLong(watch.waitMs()));
            case Call.Request request -> pack(request.request());
        };
    }

    private static byte[] pack(StoreRequest request) {
        return switch (request) {
            case StoreRequest.Read read ->
                packed(Kind.READ, p -> p.packString(read.key().value()));
            case StoreRequest.Write write ->
                packed(Kind.WRITE, p -> {
                    p.packString(write.key().value()).packLong(write.expectedVersion());
                    binary(p, write.value());
                });
            case StoreRequest.Delete delete ->
                packed(Kind.DELETE, p -> p.packString(delete.key().value()).packLong(delete.expectedVersion()));
            case StoreRequest.List list -> packed(Kind.LIST, p -> p.packString(list.prefix()));
        };
    }

    /** Unpacks a call. */
    public static Call call(byte[] body) throws PlatformException.Malformed {
        return unpacked(body, (kind, reader) -> switch (kind) {
            case READ -> new Call.Request(new StoreRequest.Read(key(reader)));
            case WRITE -> {
                ObjectKey key = key(reader);
                long expected = reader.unpacker().unpackLong();
                yield new Call.Request(new StoreRequest.Write(key, expected, reader.binary()));
            }
            case DELETE ->
                new Call.Request(
                        new StoreRequest.Delete(key(reader), reader.unpacker().unpackLong()));
            case LIST -> new Call.Request(new StoreRequest.List(reader.text()));
            case WATCH ->
                new Call.Watch(
                        reader.text(),
                        reader.unpacker().unpackLong(),
                        reader.unpacker().unpackLong());
            default -> throw new PlatformException.Malformed("not a call: " + kind, null);
        });
    }

    /** Packs a result. */
    public static byte[] pack(Result result) {
        return switch (result) {
            case Result.TooOld tooOld -> packed(Kind.TOO_OLD, p -> {});
            case Result.Replied replied -> pack(replied.reply());
        };
    }

    private static byte[] pack(StoreReply reply) {
        return switch (reply) {
            case StoreReply.Found found -> packed(Kind.FOUND, p -> object(p, found.object()));
            case StoreReply.NotFound absent -> packed(Kind.NOT_FOUND, p -> {});
            case StoreReply.Written written -> packed(Kind.WRITTEN, p -> p.packLong(written.version()));
            case StoreReply.Conflict conflict -> packed(Kind.CONFLICT, p -> {});
            case StoreReply.Listed listed ->
                packed(Kind.LISTED, p -> {
                    p.packLong(listed.listing().revision());
                    p.packArrayHeader(listed.listing().entries().size());
                    for (ObjectStore.Entry entry : listed.listing().entries()) {
                        p.packBoolean(entry.object().isPresent());
                        if (entry.object().isPresent()) {
                            object(p, entry.object().get());
                        } else {
                            p.packString(entry.key().value()).packLong(entry.version());
                        }
                    }
                });
            case StoreReply.Unavailable down -> packed(Kind.UNAVAILABLE, p -> {});
            case StoreReply.Unknown lost -> packed(Kind.UNKNOWN, p -> {});
        };
    }

    /** Unpacks a result. */
    public static Result result(byte[] body) throws PlatformException.Malformed {
        return unpacked(body, (kind, reader) -> switch (kind) {
            case FOUND -> new Result.Replied(new StoreReply.Found(object(reader)));
            case NOT_FOUND -> new Result.Replied(new StoreReply.NotFound());
            case WRITTEN ->
                new Result.Replied(new StoreReply.Written(reader.unpacker().unpackLong()));
            case CONFLICT -> new Result.Replied(new StoreReply.Conflict());
            case LISTED -> new Result.Replied(new StoreReply.Listed(listing(reader)));
            case UNAVAILABLE -> new Result.Replied(new StoreReply.Unavailable());
            case UNKNOWN -> new Result.Replied(new StoreReply.Unknown());
            case TOO_OLD -> new Result.TooOld();
            default -> throw new PlatformException.Malformed("not a result: " + kind, null);
        });
    }

    private static ObjectStore.Listing listing(BoundedReader reader) throws IOException, PlatformException.Malformed {
        long revision = reader.unpacker().unpackLong();
        List<ObjectStore.Entry> entries = new ArrayList<>();
        for (int left = reader.unpacker().unpackArrayHeader(); left > 0; left--) {
            boolean hasValue = reader.unpacker().unpackBoolean();
            entries.add(
                    hasValue
                            ? ObjectStore.Entry.of(object(reader))
                            : new ObjectStore.Entry(
                                    key(reader), reader.unpacker().unpackLong(), Optional.empty()));
        }
        return new ObjectStore.Listing(revision, entries);
    }

    private static void object(MessageBufferPacker packer, StoredObject object) throws IOException {
        packer.packString(object.key().value()).packLong(object.version());
        binary(packer, object.value());
    }

    private static StoredObject object(BoundedReader reader) throws IOException, PlatformException.Malformed {
        ObjectKey key = key(reader);
        long version = reader.unpacker().unpackLong();
        return new StoredObject(key, version, reader.binary());
    }

    private static ObjectKey key(BoundedReader reader) throws IOException, PlatformException.Malformed {
        String text = reader.text();
        try {
            return new ObjectKey(text);
        } catch (IllegalArgumentException e) {
            throw new PlatformException.Malformed("not a key", e);
        }
    }

    private static void binary(MessageBufferPacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length);
        packer.writePayload(bytes);
    }

    private static byte[] packed(Kind kind, Packing packing) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(kind.number);
            packing.pack(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("packing into memory does no I/O", e);
        }
    }

    private static <T> T unpacked(byte[] body, Unpacking<T> unpacking) throws PlatformException.Malformed {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
            return unpacking.unpack(Kind.of(unpacker.unpackInt()), new BoundedReader(unpacker, body.length));
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new PlatformException.Malformed("message about the store cannot be read", e);
        }
    }
}
