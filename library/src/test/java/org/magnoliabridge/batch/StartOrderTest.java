package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.gateway.BatchTerms;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.WeightVersion;

class StartOrderTest {
    private static final BatchItem RESUBMITTED = Batches.item("carried", "g-carried", 9_000);
    private static final List<BatchItem> ITEMS = List.of(
            Batches.item("short-1", "g-short", 300),
            Batches.item("short-2", "g-short", 600),
            Batches.item("middle", "g-middle", 1_500),
            Batches.item("longest", "g-long", 12_000),
            Batches.item("its-sister", "g-long", 100),
            RESUBMITTED);

    private final TranscriptCache transcripts = new TranscriptCache();

    /** Guards against starting groups that the trainer does not need earlier than groups that it waits for. */
    @Test
    void groupsThatAreNotNeededComeLast() {
        transcripts.put(0, RESUBMITTED, Transcript.EMPTY);
        assertThat(order(batch(3)), contains("carried", "middle", "short-2", "short-1", "longest", "its-sister"));
    }

    /** Guards against starting a resubmitted group after others although the trainer always waits for it. */
    @Test
    void resubmittedGroupComesFirstHoweverLongItIs() {
        transcripts.put(0, RESUBMITTED, Transcript.EMPTY);
        assertThat(order(batch(1)).getFirst(), is("carried"));
    }

    /**
     * Guards against starting the long items of surplus groups on old weights: the next batch would not accept their
     * texts, and they would have to be generated anew.
     */
    @Test
    void longItemsThatWillBeResubmittedPreferTheNewestWeights() {
        RunningBatch batch = batch(3);
        StartOrder startOrder = new StartOrder(batch, Batches.TARGET);
        assertThat(startOrder.prefersNewestWeights(item(batch, "longest")), is(true));
        assertThat(startOrder.prefersNewestWeights(item(batch, "its-sister")), is(false));
        assertThat(startOrder.prefersNewestWeights(item(batch, "middle")), is(false));
    }

    /** Guards against a start order that ignores the groups that are already complete. */
    @Test
    void completeGroupsCountTowardsTheWantedGroups() {
        RunningBatch batch = batch(2);
        batch.finish(0, item(batch, "short-1"), ItemResult.givenUp(new ItemId("short-1")));
        batch.finish(0, item(batch, "short-2"), ItemResult.givenUp(new ItemId("short-2")));
        assertThat(order(batch), contains("middle", "longest", "carried", "its-sister"));
    }

    private RunningBatch batch(int wantedGroups) {
        BatchHead head = new BatchHead(
                new BatchId("b"),
                Batches.TEAM,
                Batches.ROUTE,
                Batches.CONFIG_VERSION,
                "rollouts.example",
                Optional.of(Batches.MODEL),
                Optional.of(new WeightVersion(1)),
                wantedGroups,
                new BatchTerms(7_500, 40_000, false),
                3,
                0,
                ITEMS.size(),
                1,
                false);
        return new RunningBatch(
                0,
                head,
                ITEMS,
                transcripts,
                new ResultLog(head.id(), "n1", false),
                new TextCheckpoints("n1", process -> false, EnumSet.allOf(TextMechanism.class)));
    }

    private static RunningItem item(RunningBatch batch, String id) {
        return batch.item(new ItemId(id)).orElseThrow();
    }

    private static List<String> order(RunningBatch batch) {
        return new StartOrder(batch, Batches.TARGET)
                .waiting(0).stream().map(i -> i.item.id().value()).toList();
    }
}
