package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.GroupId;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.RequestId;
import org.magnoliabridge.ids.WeightVersion;

class RecordSizeTest {
    private static final int ITEMS = 8;
    private static final int TEXT_CHARS = 100_000;
    // Largest body of a call between nodes.
    private static final int MAX_PEER_BYTES = 900_000;
    private static final int MAX_ANSWER_BYTES = 1_000_000;

    private final RunnerFixture fixture = new RunnerFixture();

    /**
     * Guards against a segment of the result log that is larger than the store accepts, whose refused append is
     * repeated for ever while no result of the batch can be read.
     */
    @ParameterizedTest
    @ValueSource(strings = {"x", "\"", "\u00e9", "\u65e5", "\ud83d\ude00", "\u0001"})
    void segmentsFitTheStore(String character) {
        completeBatch(character);
        List<Integer> sizes =
                fixture.appends().stream().map(w -> w.value().length).toList();
        assertThat(sizes, not(hasSize(0)));
        assertThat(sizes, everyItem(is(lessThanOrEqualTo(ObjectStore.MAX_VALUE_BYTES - 1_024))));
    }

    /** Guards against a page that is larger than an answer may be, or than a call between two nodes may carry. */
    @ParameterizedTest
    @ValueSource(strings = {"x", "\"", "\u00e9", "\u65e5", "\ud83d\ude00", "\u0001"})
    void pagesFitAnAnswer(String character) {
        String text = text(character);
        List<ItemResult> results = IntStream.range(0, ITEMS)
                .mapToObj(i -> new ItemResult(new ItemId("i" + i), true, text, List.of(new WeightVersion(1))))
                .toList();
        List<ItemResult> read = new ArrayList<>();
        while (read.size() < ITEMS) {
            ReadAnswer.Results page = ReadAnswer.Results.page(ITEMS, results, read.size());
            assertThat(BatchMessages.pack(page).length, is(lessThanOrEqualTo(MAX_PEER_BYTES)));
            byte[] json = BatchCodec.segment(ResultSegment.of("n1-1", 0, page.results()));
            assertThat(json.length, is(lessThanOrEqualTo(MAX_ANSWER_BYTES)));
            read.addAll(page.results());
        }
        assertThat(read, is(results));
    }

    /** Guards against a batch that can never be stored because the requests for its scores are large. */
    @Test
    void itemsWithLargeScoreRequestsFitTheStore() {
        List<BatchItem> items = IntStream.range(0, 200)
                .mapToObj(i -> new BatchItem(
                        new ItemId("i" + i),
                        new GroupId("g" + i),
                        "/rollouts/i" + i,
                        Map.of("Prompt-Prefix", "9c2e41:300,".repeat(100)),
                        new byte[100],
                        540,
                        940,
                        0,
                        Optional.of(
                                new ScoreRequest(new RequestId("s" + i), "desk.example", "/score", new byte[8_000]))))
                .toList();
        Acceptance acceptance = new Acceptance(Batches.head("b", items.size()), items);
        while (acceptance.accepted().isEmpty()) {
            StoreRequest.Write write = (StoreRequest.Write) acceptance.next(0).orElseThrow();
            assertThat(write.value().length, is(lessThanOrEqualTo(ObjectStore.MAX_VALUE_BYTES - 1_024)));
            try {
                acceptance.reply(0, new StoreReply.Written(1));
            } catch (MalformedBatchException e) {
                throw new AssertionError(e);
            }
        }
    }

    private void completeBatch(String character) {
        String text = text(character);
        fixture.engines(Batches.engine("e1", ITEMS, 1));
        fixture.open(Batches.head("b", ITEMS), Batches.items("i", ITEMS), true);
        for (ItemRun run : fixture.runs()) {
            fixture.end(run, new RunOutcome.Completed(), Batches.event(1, text, 1));
        }
        fixture.confirmWrites();
        fixture.confirmWrites();
    }

    private static String text(String character) {
        return character.repeat(TEXT_CHARS / character.length());
    }
}
