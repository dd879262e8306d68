package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.StoredObject;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.WeightVersion;

class StoredResultsTest {
    private static final BatchId BATCH = new BatchId("b");
    private static final long READER_MS = 1_000;

    private final Store store = new Store();
    private final StoredBatches stored = new StoredBatches(store, () -> store.nowMs);

    /** Guards against results that are out of order, twice in the list, or missing after a later append. */
    @Test
    void resultsFollowTheSegments() throws Exception {
        store.append(0, result("a", "x"), result("b", "y"));
        store.append(1, result("b", "z"), result("c", "y"));
        assertThat(read(5, 0).stream().map(r -> r.item().value() + r.text()).toList(), contains("ax", "by", "cy"));
        store.append(2, result("d", "w"));
        assertThat(read(5, 0), hasSize(4));
    }

    /**
     * Guards against reads of an ended batch whose cost in store calls grows with its segments. Replays the load: a
     * batch of 15 segments that the runner does not hold is read 40 times at one node.
     */
    @Test
    void repeatedReadsCostOneCallEach() throws Exception {
        int segments = 15;
        int reads = 40;
        for (int i = 0; i < segments; i++) {
            store.append(i, result("i" + i, "text"));
        }
        for (int i = 0; i < reads; i++) {
            assertThat(read(segments + 1, 0), hasSize(segments));
        }
        assertThat(store.reads, is(lessThanOrEqualTo(segments + reads)));
    }

    /**
     * Guards against calls for each segment after a restart of all nodes. Replays the load: each of 20 nodes is asked
     * for three logs of 15 segments that it has not cached; the listing lacks the last two segments.
     */
    @Test
    void logsThatANodeHasNotCachedCostFewCalls() throws Exception {
        store.listedSegments = 13;
        List<String> batches = List.of("a", "b", "c");
        for (String batch : batches) {
            for (int i = 0; i < 15; i++) {
                store.append(new BatchId(batch), i, result("i" + i, "text"));
            }
        }
        int nodes = 20;
        for (int node = 0; node < nodes; node++) {
            StoredBatches restarted = new StoredBatches(store, () -> store.nowMs);
            for (String batch : batches) {
                ReadAnswer.Results page = restarted.page(Batches.head(batch, 16), 0, store.nowMs + READER_MS);
                assertThat(page.results(), hasSize(15));
            }
        }
        assertThat(store.reads, is(lessThanOrEqualTo(nodes * batches.size() * 4)));
    }

    /** Guards against a listing with a segment that cannot be decoded, which must not hide the others. */
    @Test
    void unreadableSegmentOfAListingDoesNotHideEarlierResults() throws Exception {
        store.listedSegments = 4;
        for (int i = 0; i < 4; i++) {
            store.append(i, result("i" + i, "text"));
        }
        store.objects.put(BatchKeys.results(BATCH, 3), new byte[] {'{'});
        assertThat(read(4, 0), hasSize(3));
        assertThrows(MalformedBatchException.class, () -> read(4, 3));
    }

    /**
     * Guards against a long log that no reader can read in its time. Replays the load: all nodes have restarted, and
     * the store takes 100 ms for a call.
     */
    @Test
    void longLogIsReadInTheReadersTime() throws Exception {
        int segments = 40;
        for (int i = 0; i < segments; i++) {
            store.append(i, result("i" + i, "text"));
        }
        store.callMs = 100;
        List<String> read = new ArrayList<>();
        while (read.size() < segments) {
            long startMs = store.nowMs;
            List<ItemResult> page = read(segments, read.size());
            assertThat("results of a page", page.size(), is(greaterThan(0)));
            assertThat("time of a page", store.nowMs - startMs, is(lessThanOrEqualTo(READER_MS)));
            page.forEach(r -> read.add(r.item().value()));
        }
        assertThat(read, is(IntStream.range(0, segments).mapToObj(i -> "i" + i).toList()));
        assertThat("each segment is read once", store.reads, is(segments));
    }

    /** Guards against results that cannot be read because the store does not give a later segment. */
    @Test
    void refusedSegmentDoesNotHideEarlierResults() throws Exception {
        for (int i = 0; i < 4; i++) {
            store.append(i, result("i" + i, "text"));
        }
        store.refused = BatchKeys.results(BATCH, 2);
        assertThat(read(4, 0), hasSize(2));
        assertThat(read(4, 1), hasSize(1));
        assertThrows(PlatformException.RateLimited.class, () -> read(4, 2));
    }

    /** Guards against results that cannot be read because a later segment cannot be decoded. */
    @Test
    void unreadableSegmentDoesNotHideEarlierResults() throws Exception {
        store.append(0, result("a", "text"));
        store.objects.put(BatchKeys.results(BATCH, 1), new byte[] {'{'});
        assertThat(read(2, 0), hasSize(1));
        assertThrows(MalformedBatchException.class, () -> read(2, 1));
    }

    /** Guards against an empty page that is older than the time in which a result is visible at all nodes. */
    @Test
    void lateAbsenceOfAResultIsNotReported() {
        store.callMs = 700;
        assertThrows(PlatformException.Unavailable.class, () -> read(2, 0));
    }

    /** Guards against a first page that costs a call for each segment of a large log. */
    @Test
    void logIsReadNoFurtherThanThePage() throws Exception {
        for (int i = 0; i < 10; i++) {
            store.append(i, result("i" + i, "x".repeat(300_000)));
        }
        assertThat(read(10, 0), hasSize(2));
        assertThat(store.reads, is(lessThanOrEqualTo(3)));
    }

    /** Guards against texts that accumulate in the memory of a small node. */
    @Test
    void cachedTextsAreBounded() {
        SegmentCache cache = new SegmentCache();
        String text = "x".repeat(100_000);
        for (int i = 0; i < 100; i++) {
            cache.put(BatchKeys.results(BATCH, i), List.of(result("i" + i, text)));
        }
        assertThat(cache.chars(), is(lessThanOrEqualTo(SegmentCache.MAX_CHARS)));
        assertThat(
                "the newest one is kept",
                cache.find(BatchKeys.results(BATCH, 99)).isPresent(),
                is(true));
        assertThat(cache.find(BatchKeys.results(BATCH, 0)), is(Optional.empty()));
    }

    private List<ItemResult> read(int items, int after) throws PlatformException, MalformedBatchException {
        return stored.page(Batches.head(BATCH.value(), items), after, store.nowMs + READER_MS)
                .results();
    }

    private static ItemResult result(String item, String text) {
        return new ItemResult(new ItemId(item), true, text, List.of(new WeightVersion(1)));
    }

    private static final class Store implements ObjectStore {
        private final Map<ObjectKey, byte[]> objects = new HashMap<>();
        private int reads;
        private long nowMs;
        private long callMs;
        private ObjectKey refused = new ObjectKey("none/none");

        // Segments of a batch that a listing has; none if the store has no such calls.
        private int listedSegments;

        void append(int number, ItemResult... results) {
            append(BATCH, number, results);
        }

        void append(BatchId batch, int number, ItemResult... results) {
            ResultSegment segment = ResultSegment.of("n1-1", number, List.of(results));
            objects.put(BatchKeys.results(batch, number), BatchCodec.segment(segment));
        }

        // The store orders the objects of a kind by their names.
        @Override
        public Listing nextStale(ObjectKey after) {
            if (listedSegments == 0) {
                return new Listing(1, List.of());
            }
            reads++;
            nowMs += callMs;
            List<Entry> entries = objects.keySet().stream()
                    .sorted()
                    .filter(key -> key.compareTo(after) > 0)
                    .filter(key ->
                            Integer.parseInt(key.value().substring(key.value().lastIndexOf('.') + 1)) < listedSegments)
                    .map(key -> Entry.of(new StoredObject(key, 1, objects.get(key))))
                    .toList();
            return new Listing(1, entries);
        }

        @Override
        public Optional<StoredObject> read(ObjectKey key) throws PlatformException {
            reads++;
            nowMs += callMs;
            if (key.equals(refused)) {
                throw new PlatformException.RateLimited(100);
            }
            return Optional.ofNullable(objects.get(key)).map(v -> new StoredObject(key, 1, v));
        }

        @Override
        public long write(ObjectKey key, long expectedVersion, byte[] value) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void delete(ObjectKey key, long expectedVersion) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Listing list(String prefix) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Listing watch(String prefix, long sinceRevision, long waitMs) {
            throw new UnsupportedOperationException();
        }
    }
}
