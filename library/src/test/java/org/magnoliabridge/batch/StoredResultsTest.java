package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.StoredObject;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.WeightVersion;

class StoredResultsTest {
    private static final BatchId BATCH = new BatchId("b");

    private final Store store = new Store();
    private final StoredBatches stored = new StoredBatches(store, () -> 0);

    /** Guards against results that are out of order, twice in the list, or missing after a later append. */
    @Test
    void resultsFollowTheSegments() throws Exception {
        store.append(0, result("a", "x"), result("b", "y"));
        store.append(1, result("b", "z"), result("c", "y"));
        assertThat(
                stored.results(BATCH).stream()
                        .map(r -> r.item().value() + r.text())
                        .toList(),
                contains("ax", "by", "cy"));
        store.append(2, result("d", "w"));
        assertThat(stored.results(BATCH), hasSize(4));
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
            assertThat(stored.results(BATCH), hasSize(segments));
        }
        assertThat(store.reads, is(lessThanOrEqualTo(segments + reads)));
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

    private static ItemResult result(String item, String text) {
        return new ItemResult(new ItemId(item), true, text, List.of(new WeightVersion(1)));
    }

    private static final class Store implements ObjectStore {
        private final Map<ObjectKey, byte[]> objects = new HashMap<>();
        private int reads;

        void append(int number, ItemResult... results) {
            ResultSegment segment = ResultSegment.of("n1-1", number, List.of(results));
            objects.put(BatchKeys.results(BATCH, number), BatchCodec.segment(segment));
        }

        @Override
        public Optional<StoredObject> read(ObjectKey key) {
            reads++;
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
