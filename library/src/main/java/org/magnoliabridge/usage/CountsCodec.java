package org.magnoliabridge.usage;

import java.io.IOException;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WindowId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The MessagePack encoding of usage counts and of their acknowledgement, which repeats the received counts. */
final class CountsCodec {
    private static final int FIELDS = 7;

    private CountsCodec() {}

    /** Counts and the incarnation of the process they are addressed to; an acknowledgement repeats both. */
    record Message(Incarnation addressee, SortedMap<CounterId, Count> counts) {}

    static byte[] pack(Incarnation addressee, Map<CounterId, Count> counts) {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packLong(addressee.value()).packArrayHeader(counts.size());
            for (Map.Entry<CounterId, Count> entry : counts.entrySet()) {
                pack(out, entry.getKey(), entry.getValue());
            }
            return out.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("I/O error on an in-memory buffer", e);
        }
    }

    private static void pack(MessagePacker out, CounterId id, Count count) throws IOException {
        out.packArrayHeader(FIELDS).packLong(id.window().value());
        out.packString(id.node().value()).packLong(id.incarnation().value());
        out.packString(id.team().value()).packLong(count.requests());
        out.packLong(count.promptTokens()).packLong(count.completionTokens());
    }

    static Message unpack(byte[] body) throws MalformedUsageException {
        SortedMap<CounterId, Count> counts = new TreeMap<>();
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(body)) {
            Incarnation addressee = new Incarnation(in.unpackLong());
            int size = in.unpackArrayHeader();
            for (int i = 0; i < size; i++) {
                if (in.unpackArrayHeader() != FIELDS) {
                    throw new MalformedUsageException("expected " + FIELDS + " fields in a usage count", null);
                }
                CounterId id = new CounterId(
                        new WindowId(in.unpackLong()),
                        new NodeId(in.unpackString()),
                        new Incarnation(in.unpackLong()),
                        new TeamId(in.unpackString()));
                counts.put(id, new Count(in.unpackLong(), in.unpackLong(), in.unpackLong()));
            }
            return new Message(addressee, counts);
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new MalformedUsageException("cannot decode usage counts", e);
        }
    }
}
