package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.BatchId;

class BatchMemoryTest {
    private static final int TEXT_CHARS = 1 << 20;

    private final RunnerFixture fixture = new RunnerFixture();

    /** Guards against a runner whose heap fills with the texts of ended batches, at any length of a text. */
    @Test
    void textsOfEndedBatchesAreBounded() {
        fixture.engines(Batches.engine("e1", 1, 1));
        int batches = (int) (2 * BatchCore.MAX_ENDED_CHARS / TEXT_CHARS);
        for (int i = 0; i < batches; i++) {
            runToItsEnd("b" + i);
        }
        // Runs of an ended batch may continue for a while, which keeps the batch.
        fixture.advance(3_000);
        long kept = 0;
        for (int i = 0; i < batches; i++) {
            kept += fixture.hasBatch("b" + i) ? TEXT_CHARS : 0;
        }
        assertThat(kept, is(lessThanOrEqualTo(BatchCore.MAX_ENDED_CHARS)));
        assertThat(kept, is(greaterThan(BatchCore.MAX_ENDED_CHARS / 2)));
        assertThat(fixture.read("b" + (batches - 1), 0), hasSize(1));
        assertThat(fixture.readAnswer("b0", 0), is(instanceOf(ReadAnswer.Unsure.class)));
    }

    /** Guards against a cache of texts that is bounded by their number only, and fills the heap with long ones. */
    @Test
    void cachedTextsAreBounded() {
        TranscriptCache cache = new TranscriptCache();
        List<BatchItem> items = Batches.items("a", (int) (2 * TranscriptCache.MAX_CHARS / TEXT_CHARS));
        Transcript text = new Transcript(List.of(Batches.event(1, "x".repeat(TEXT_CHARS), 1)), false);
        for (BatchItem item : items) {
            cache.put(0, item, text);
            cache.put(0, item, text);
            assertThat(cache.chars(), is(lessThanOrEqualTo(TranscriptCache.MAX_CHARS)));
        }
        assertThat(cache.contains(items.getLast()), is(true));
        assertThat(cache.contains(items.getFirst()), is(false));
    }

    private void runToItsEnd(String batch) {
        fixture.open(Batches.head(batch, 1), Batches.items(batch, 1), true);
        fixture.end(fixture.run(batch + "-0"), new RunOutcome.Completed(), Batches.event(1, "x".repeat(TEXT_CHARS), 1));
        fixture.confirmWrites();
        fixture.handle(new BatchInput.End(new BatchId(batch)));
    }
}
