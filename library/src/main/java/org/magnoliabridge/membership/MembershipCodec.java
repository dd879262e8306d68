package org.magnoliabridge.membership;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.InvalidIdException;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.Region;
import org.magnoliabridge.membership.MemberState.Liveness;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the message bodies of the membership protocol.
 *
 * <p>Capacities of members, and then their store counters if any is reported, follow after everything else in a body,
 * because nodes without these fields reject an update with more fields, but ignore what follows the body.
 */
final class MembershipCodec {
    private static final int MAX_TEXT_CHARS = 200;
    private static final int MAX_ELEMENTS = 10_000;
    private static final int FIELDS_WITHOUT_LOCATION = 5;
    private static final int FIELDS_WITH_LOCATION = 9;
    private static final int PING_FIELDS = 9;
    private static final int PING_FIELDS_WITHOUT_CAPACITIES = 8;

    private MembershipCodec() {}

    /**
     * Body of Ping and Ack.
     *
     * @param versions of the sender's pinned items, in the order of {@link Item#PINNED}
     * @param digest of the member table without dead members
     * @param members number of members in that table
     * @param confirmationAgeMs time since the sender's configuration was confirmed; negative if it never was
     */
    record PingBody(
            MemberUpdate sender,
            List<Long> versions,
            long digest,
            int members,
            long confirmationAgeMs,
            int loadPermille,
            List<MemberUpdate> updates,
            List<Item> items) {}

    /** Body of PingRequest: the node to ping. */
    record PingRequest(NodeId node, String address) {}

    /** Body of ItemRequest: asks for the item if its version is above this one. */
    record ItemRequest(String name, long aboveVersion) {}

    /**
     * Body of Items.
     *
     * @param payload empty if only the version is announced
     * @param targets the members to which the receiver forwards the item
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Delivery(String name, long version, Optional<byte[]> payload, List<NodeId> targets) {}

    static byte[] pack(PingBody c) {
        return pack(p -> {
            p.packArrayHeader(PING_FIELDS);
            pack(p, c.sender());
            p.packArrayHeader(c.versions().size());
            for (long version : c.versions()) {
                p.packLong(version);
            }
            p.packLong(c.digest())
                    .packInt(c.members())
                    .packLong(c.confirmationAgeMs())
                    .packInt(c.loadPermille());
            pack(p, c.updates());
            p.packArrayHeader(c.items().size());
            for (Item item : c.items()) {
                p.packString(item.name()).packLong(item.version());
                p.packBinaryHeader(item.payload().length).writePayload(item.payload());
            }
            packReports(p, withSender(c.sender(), c.updates()));
        });
    }

    static PingBody readPing(byte[] body) throws MalformedMessageException {
        return unpack(body, u -> {
            int fields = u.unpackArrayHeader();
            MemberUpdate sender = update(u);
            List<Long> versions = list(u, MessageUnpacker::unpackLong);
            long digest = u.unpackLong();
            int members = u.unpackInt();
            long ageMs = u.unpackLong();
            int load = u.unpackInt();
            List<MemberUpdate> updates = list(u, MembershipCodec::update);
            List<Item> items = list(u, v -> new Item(text(v), v.unpackLong(), bytes(v, Item.MAX_SMALL_BYTES)));
            if (sender.location().isEmpty() || versions.size() != Item.PINNED.size()) {
                throw new IOException("expected the sender's location and one version for each pinned item");
            }
            List<MemberUpdate> all = withSender(sender, updates);
            if (fields > PING_FIELDS_WITHOUT_CAPACITIES) {
                all = withReports(all, u);
            }
            return new PingBody(
                    all.getFirst(), versions, digest, members, ageMs, load, all.subList(1, all.size()), items);
        });
    }

    static byte[] pack(PingRequest request) {
        return pack(p -> p.packArrayHeader(2).packString(request.node().value()).packString(request.address()));
    }

    static PingRequest readPingRequest(byte[] body) throws MalformedMessageException {
        return unpack(body, u -> {
            u.unpackArrayHeader();
            return new PingRequest(NodeId.parse(text(u)), text(u));
        });
    }

    static byte[] pack(ItemRequest request) {
        return pack(p -> p.packArrayHeader(2).packString(request.name()).packLong(request.aboveVersion()));
    }

    static ItemRequest readItemRequest(byte[] body) throws MalformedMessageException {
        return unpack(body, u -> {
            u.unpackArrayHeader();
            return new ItemRequest(text(u), u.unpackLong());
        });
    }

    static byte[] pack(Delivery d) {
        return pack(p -> {
            p.packArrayHeader(4).packString(d.name()).packLong(d.version());
            if (d.payload().isPresent()) {
                p.packBinaryHeader(d.payload().get().length)
                        .writePayload(d.payload().get());
            } else {
                p.packNil();
            }
            p.packArrayHeader(d.targets().size());
            for (NodeId node : d.targets()) {
                p.packString(node.value());
            }
        });
    }

    static Delivery readDelivery(byte[] body) throws MalformedMessageException {
        return unpack(body, u -> {
            u.unpackArrayHeader();
            String name = text(u);
            long version = u.unpackLong();
            Optional<byte[]> payload = u.tryUnpackNil() ? Optional.empty() : Optional.of(bytes(u, body.length));
            return new Delivery(name, version, payload, list(u, v -> NodeId.parse(text(v))));
        });
    }

    static byte[] packUpdates(List<MemberUpdate> updates) {
        return pack(p -> {
            pack(p, updates);
            packReports(p, updates);
        });
    }

    static List<MemberUpdate> readUpdates(byte[] body) throws MalformedMessageException {
        return unpack(body, u -> {
            List<MemberUpdate> updates = list(u, MembershipCodec::update);
            return u.hasNext() ? withReports(updates, u) : updates;
        });
    }

    /** Returns the bytes that an update takes inside a ping. */
    static int size(MemberUpdate update) {
        return pack(p -> {
                    pack(p, update);
                    p.packInt(update.capacityMillicores());
                    p.packInt(update.state().storeChanges());
                })
                .length;
    }

    private static void packReports(MessagePacker p, List<MemberUpdate> updates) throws IOException {
        p.packArrayHeader(updates.size());
        for (MemberUpdate update : updates) {
            p.packInt(update.capacityMillicores());
        }
        if (updates.stream().anyMatch(u -> u.state().storeChanges() != MemberState.STORE_UNREPORTED)) {
            p.packArrayHeader(updates.size());
            for (MemberUpdate update : updates) {
                p.packInt(update.state().storeChanges());
            }
        }
    }

    private static List<MemberUpdate> withReports(List<MemberUpdate> updates, MessageUnpacker u)
            throws IOException, InvalidIdException {
        List<MemberUpdate> result = withEach(updates, u, MemberUpdate::withCapacity);
        return u.hasNext() ? withEach(result, u, MemberUpdate::withStoreChanges) : result;
    }

    private static List<MemberUpdate> withEach(
            List<MemberUpdate> updates, MessageUnpacker u, BiFunction<MemberUpdate, Integer, MemberUpdate> with)
            throws IOException, InvalidIdException {
        List<Integer> values = list(u, MessageUnpacker::unpackInt);
        if (values.size() != updates.size()) {
            throw new IOException("expected " + updates.size() + " values, found " + values.size());
        }
        List<MemberUpdate> result = new ArrayList<>();
        for (int i = 0; i < updates.size(); i++) {
            result.add(with.apply(updates.get(i), values.get(i)));
        }
        return result;
    }

    private static List<MemberUpdate> withSender(MemberUpdate sender, List<MemberUpdate> updates) {
        List<MemberUpdate> result = new ArrayList<>();
        result.add(sender);
        result.addAll(updates);
        return result;
    }

    private static void pack(MessagePacker p, List<MemberUpdate> updates) throws IOException {
        p.packArrayHeader(updates.size());
        for (MemberUpdate update : updates) {
            pack(p, update);
        }
    }

    private static void pack(MessagePacker p, MemberUpdate update) throws IOException {
        MemberState s = update.state();
        p.packArrayHeader(update.location().isPresent() ? FIELDS_WITH_LOCATION : FIELDS_WITHOUT_LOCATION);
        p.packString(update.id().value()).packLong(s.incarnation().value()).packInt(s.refutation());
        p.packInt(s.liveness().number()).packBoolean(s.leaving());
        if (update.location().isPresent()) {
            NodeLocation location = update.location().get();
            p.packString(location.peerAddress()).packString(location.callerAddress());
            p.packString(location.dataCentre().value())
                    .packString(location.region().value());
        }
    }

    private static MemberUpdate update(MessageUnpacker u) throws IOException, InvalidIdException {
        int fields = u.unpackArrayHeader();
        NodeId id = NodeId.parse(text(u));
        Incarnation incarnation = new Incarnation(u.unpackLong());
        int refutation = u.unpackInt();
        MemberState state = new MemberState(incarnation, refutation, liveness(u.unpackInt()), u.unpackBoolean());
        Optional<NodeLocation> location = fields == FIELDS_WITHOUT_LOCATION
                ? Optional.empty()
                : Optional.of(new NodeLocation(text(u), text(u), DataCentre.parse(text(u)), Region.parse(text(u))));
        return new MemberUpdate(id, state, location);
    }

    private static Liveness liveness(int number) throws IOException {
        for (Liveness liveness : Liveness.values()) {
            if (liveness.number() == number) {
                return liveness;
            }
        }
        throw new IOException("unknown liveness number " + number);
    }

    private static String text(MessageUnpacker u) throws IOException {
        String text = u.unpackString();
        if (text.length() > MAX_TEXT_CHARS) {
            throw new IOException("text is longer than " + MAX_TEXT_CHARS + " characters");
        }
        return text;
    }

    private static byte[] bytes(MessageUnpacker u, int max) throws IOException {
        int length = u.unpackBinaryHeader();
        if (length > max) {
            throw new IOException("binary has " + length + " bytes, expected at most " + max);
        }
        return u.readPayload(length);
    }

    private static <T> List<T> list(MessageUnpacker u, Reader<T> reader) throws IOException, InvalidIdException {
        int size = u.unpackArrayHeader();
        if (size > MAX_ELEMENTS) {
            throw new IOException("list has " + size + " elements, expected at most " + MAX_ELEMENTS);
        }
        List<T> result = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            result.add(reader.read(u));
        }
        return result;
    }

    private static byte[] pack(Writer writer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            writer.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("unexpected I/O error while packing into memory", e);
        }
    }

    private static <T> T unpack(byte[] body, Reader<T> reader) throws MalformedMessageException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
            return reader.read(unpacker);
        } catch (IOException | MessagePackException | InvalidIdException | IllegalArgumentException e) {
            throw new MalformedMessageException(e);
        }
    }

    /** Writes a body. */
    private interface Writer {
        void write(MessagePacker packer) throws IOException;
    }

    /** Reads a body or a part of it. */
    private interface Reader<T> {
        T read(MessageUnpacker unpacker) throws IOException, InvalidIdException;
    }
}
