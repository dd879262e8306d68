package org.magnoliabridge.batch;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.InvalidIdException;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.wire.BoundedReader;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** The messages about batches between nodes, encoded as MessagePack. */
public final class BatchMessages {
    private static final int RESULTS = 0;
    private static final int BODY = 1;
    private static final int MISSING = 2;
    private static final int UNSURE = 3;

    private BatchMessages() {}

    /** A batch offered to the runner. Without items, the runner reads them from the store. */
    public record Offer(BatchHead head, boolean newlyAccepted, Optional<List<BatchItem>> items) {
        public Offer {
            Objects.requireNonNull(head);
            Objects.requireNonNull(items);
        }
    }

    /** A request for results or, if an item is given, for its body. */
    public record ReadRequest(BatchId batch, TeamId team, int after, long waitMs, Optional<ItemId> item) {
        // The runner answers without results from a log that was current at most PendingReads.MAX_AGE_MS before.
        private static final long MAX_DELAY_MS = 300;

        /**
         * Returns whether the answer to this request says that there is no result, but is so late that one may have
         * been read elsewhere for more than a second.
         *
         * @param tookMs time since the request
         */
        public boolean isOutdated(ReadAnswer answer, long tookMs) {
            boolean none = answer instanceof ReadAnswer.Results found
                    && found.results().isEmpty()
                    && after < found.total();
            return none && tookMs - waitMs > MAX_DELAY_MS;
        }
    }

    /** A request of a batch's team to end it. */
    public record EndRequest(BatchId batch, TeamId team) {}

    /** A node's announcement that it is the runner. */
    public record Announcement(NodeId runner, long term) {}

    private interface Packing {
        void pack(MessageBufferPacker packer) throws IOException;
    }

    private interface Unpacking<T> {
        T unpack(BoundedReader reader) throws IOException, InvalidIdException, MalformedBatchException;
    }

    /** Packs an offer. */
    public static byte[] pack(Offer offer) {
        return packed(packer -> {
            binary(packer, BatchCodec.head(offer.head()));
            packer.packBoolean(offer.newlyAccepted());
            packer.packBoolean(offer.items().isPresent());
            if (offer.items().isPresent()) {
                binary(packer, BatchCodec.items(offer.items().get()));
            }
        });
    }

    /** Returns a lower bound of the size of an offer with these items, in bytes, without packing it. */
    public static long minBytes(List<BatchItem> items) {
        return items.stream().mapToLong(BatchMessages::minBytes).sum();
    }

    // Bodies are in base64, four characters for three bytes.
    private static long minBytes(BatchItem item) {
        long headers = item.headers().entrySet().stream()
                .mapToLong(h -> h.getKey().length() + h.getValue().length())
                .sum();
        long bodies = (long) item.body().length
                + item.scorer().map(s -> s.body().length).orElse(0);
        return headers + item.path().length() + 4 * bodies / 3;
    }

    /** Unpacks an offer. */
    public static Offer offer(byte[] body) throws MalformedBatchException {
        return unpacked(body, reader -> {
            BatchHead head = BatchCodec.head(reader.binary());
            boolean fresh = reader.unpacker().unpackBoolean();
            Optional<List<BatchItem>> items = reader.unpacker().unpackBoolean()
                    ? Optional.of(BatchCodec.items(reader.binary()))
                    : Optional.empty();
            return new Offer(head, fresh, items);
        });
    }

    /** Packs a batch's id. */
    public static byte[] pack(BatchId batch) {
        return packed(packer -> packer.packString(batch.value()));
    }

    /** Unpacks a batch's id. */
    public static BatchId batch(byte[] body) throws MalformedBatchException {
        return unpacked(body, reader -> BatchId.parse(reader.text()));
    }

    /** Packs a request to end a batch. */
    public static byte[] pack(EndRequest request) {
        return packed(packer -> packer.packString(request.batch().value())
                .packString(request.team().value()));
    }

    /** Unpacks a request to end a batch. */
    public static EndRequest endRequest(byte[] body) throws MalformedBatchException {
        return unpacked(body, reader -> new EndRequest(BatchId.parse(reader.text()), TeamId.parse(reader.text())));
    }

    /** Packs an announcement. */
    public static byte[] pack(Announcement announcement) {
        return packed(packer -> packer.packString(announcement.runner().value()).packLong(announcement.term()));
    }

    /** Unpacks an announcement. */
    public static Announcement announcement(byte[] body) throws MalformedBatchException {
        return unpacked(
                body,
                reader -> new Announcement(
                        NodeId.parse(reader.text()), reader.unpacker().unpackLong()));
    }

    /** Packs a read request. */
    public static byte[] pack(ReadRequest read) {
        return packed(packer -> packer.packString(read.batch().value())
                .packString(read.team().value())
                .packInt(read.after())
                .packLong(read.waitMs())
                .packString(read.item().map(ItemId::value).orElse("")));
    }

    /** Unpacks a read request. */
    public static ReadRequest read(byte[] body) throws MalformedBatchException {
        return unpacked(body, reader -> {
            BatchId batch = BatchId.parse(reader.text());
            TeamId team = TeamId.parse(reader.text());
            int after = reader.unpacker().unpackInt();
            long waitMs = reader.unpacker().unpackLong();
            String item = reader.text();
            return new ReadRequest(
                    batch, team, after, waitMs, item.isEmpty() ? Optional.empty() : Optional.of(ItemId.parse(item)));
        });
    }

    /** Packs an answer. */
    public static byte[] pack(ReadAnswer answer) {
        return packed(packer -> {
            switch (answer) {
                case ReadAnswer.Results results -> {
                    packer.packInt(RESULTS).packInt(results.total());
                    packer.packArrayHeader(results.results().size());
                    for (ItemResult result : results.results()) {
                        pack(packer, result);
                    }
                    packScores(packer, results.results());
                }
                case ReadAnswer.Body found -> {
                    packer.packInt(BODY);
                    binary(packer, found.body());
                }
                case ReadAnswer.Missing missing -> packer.packInt(MISSING);
                case ReadAnswer.Unsure unsure -> packer.packInt(UNSURE);
            }
        });
    }

    /** Unpacks an answer. */
    public static ReadAnswer answer(byte[] body) throws MalformedBatchException {
        return unpacked(body, reader -> switch (reader.unpacker().unpackInt()) {
            case RESULTS -> {
                int total = reader.unpacker().unpackInt();
                List<ItemResult> results = new ArrayList<>();
                for (int left = reader.unpacker().unpackArrayHeader(); left > 0; left--) {
                    results.add(result(reader));
                }
                yield new ReadAnswer.Results(total, withScores(reader, results));
            }
            case BODY -> new ReadAnswer.Body(reader.binary());
            case MISSING -> new ReadAnswer.Missing();
            default -> new ReadAnswer.Unsure();
        });
    }

    private static void pack(MessageBufferPacker packer, ItemResult result) throws IOException {
        packer.packString(result.item().value()).packBoolean(result.completed()).packString(result.text());
        packer.packArrayHeader(result.versions().size());
        for (WeightVersion version : result.versions()) {
            packer.packLong(version.value());
        }
    }

    // The scores follow the results, where a node that knows none does not read.
    private static void packScores(MessageBufferPacker packer, List<ItemResult> results) throws IOException {
        packer.packArrayHeader(results.size());
        for (ItemResult result : results) {
            packer.packString(result.score().orElse(""));
        }
    }

    private static List<ItemResult> withScores(BoundedReader reader, List<ItemResult> results) throws IOException {
        if (!reader.unpacker().hasNext()) {
            return results;
        }
        List<ItemResult> scored = new ArrayList<>();
        int scores = reader.unpacker().unpackArrayHeader();
        for (int i = 0; i < results.size(); i++) {
            String score = i < scores ? reader.text() : "";
            scored.add(score.isEmpty() ? results.get(i) : results.get(i).withScore(score));
        }
        return scored;
    }

    private static ItemResult result(BoundedReader reader) throws IOException, InvalidIdException {
        ItemId item = ItemId.parse(reader.text());
        boolean completed = reader.unpacker().unpackBoolean();
        String text = reader.text();
        List<WeightVersion> versions = new ArrayList<>();
        for (int left = reader.unpacker().unpackArrayHeader(); left > 0; left--) {
            versions.add(new WeightVersion(reader.unpacker().unpackLong()));
        }
        return new ItemResult(item, completed, text, versions);
    }

    private static void binary(MessageBufferPacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length);
        packer.writePayload(bytes);
    }

    private static byte[] packed(Packing packing) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packing.pack(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("I/O error while packing a message into memory", e);
        }
    }

    private static <T> T unpacked(byte[] body, Unpacking<T> unpacking) throws MalformedBatchException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
            return unpacking.unpack(new BoundedReader(unpacker, body.length));
        } catch (IOException | InvalidIdException | MessagePackException | IllegalArgumentException e) {
            throw new MalformedBatchException("batch message from another node cannot be decoded", e);
        }
    }
}
