package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.WeightVersion;

class RunTrackerTest {
    private static final long PERIOD_MS = 100;

    private final RunnerFixture fixture = new RunnerFixture();

    /** Guards against a step that waits for an engine which sends no events although its connections stay open. */
    @Test
    void silentRunResumesAtAnotherEngine() {
        fixture.engines(Batches.engine("e1", 2, 1), Batches.engine("e2", 2, 1));
        fixture.open(Batches.head("b", 2), longItems(2), true);
        ItemRun silent = fixture.runs().getFirst();
        ItemRun healthy = fixture.runs().getLast();
        for (int i = 0; i < 6; i++) {
            fixture.generate(healthy, 2);
            fixture.reportProgress(PERIOD_MS);
        }
        assertThat("silence within the time that a slow event may take", fixture.stopped(), is(empty()));
        for (int i = 0; i < 3; i++) {
            fixture.generate(healthy, 2);
            fixture.reportProgress(PERIOD_MS);
        }
        assertThat(fixture.stopped(), contains(silent.id()));
        assertThat("the first run has not ended yet", fixture.runs(), hasSize(2));
        fixture.end(silent, new RunOutcome.Stopped(), Batches.event(1, "x", 1));
        ItemRun next = fixture.run(silent.item().id().value());
        assertThat(next.endpoint().id(), is(not(silent.endpoint().id())));
        assertThat(next.lastEvent(), is(1L));
    }

    /** Guards against migrating runs although every engine pauses, or although no other engine has a free slot. */
    @Test
    void silentRunStaysIfNoOtherEngineHasAFreeSlot() {
        fixture.engines(Batches.engine("e1", 1, 1), Batches.engine("e2", 1, 1));
        fixture.open(Batches.head("b", 2), longItems(2), true);
        for (int i = 0; i < 20; i++) {
            fixture.reportProgress(PERIOD_MS);
        }
        assertThat(fixture.stopped(), is(empty()));
    }

    /** Guards against migrating runs away from an engine that loads weights, which takes a second. */
    @Test
    void loadingEngineIsNotSilent() {
        EngineState loading = new EngineState(
                Batches.endpoint("e1"), 2, Map.of(Batches.MODEL, new WeightVersion(1)), Set.of(Batches.MODEL));
        fixture.engines(Batches.engine("e1", 2, 1));
        fixture.open(Batches.head("b", 1), longItems(1), true);
        fixture.engines(loading, Batches.engine("e2", 2, 1));
        for (int i = 0; i < 12; i++) {
            fixture.reportProgress(PERIOD_MS);
        }
        assertThat(fixture.stopped(), is(empty()));
    }

    /** Guards against a text that restarts when its group is resubmitted while the text is still being generated. */
    @Test
    void runOfAnEndedBatchContinuesForTheNextOne() {
        fixture.engines(Batches.engine("e1", 2, 2));
        fixture.open(Batches.head("b1", 1), longItems(1), true);
        ItemRun run = fixture.runs().getFirst();
        fixture.handle(new BatchInput.End(new BatchId("b1")));
        assertThat(fixture.stopped(), is(empty()));
        fixture.advance(500);
        fixture.open(Batches.head("b2", 1, 2, false), longItems(1), true);
        fixture.advance(100);
        assertThat("no second run", fixture.runs(), hasSize(1));
        fixture.end(run, new RunOutcome.Completed(), Batches.event(1, "whole", 2));
        fixture.advance(1_000);
        fixture.confirmWrites();
        assertThat(fixture.read("b2", 0).getFirst().text(), is("whole"));
    }

    /** Guards against engines that keep running items of an ended batch that are not resubmitted. */
    @Test
    void runOfAnEndedBatchIsStoppedIfItIsNotResubmitted() {
        fixture.engines(Batches.engine("e1", 2, 2));
        fixture.open(Batches.head("b1", 1), longItems(1), true);
        fixture.handle(new BatchInput.End(new BatchId("b1")));
        fixture.advance(3_000);
        assertThat(fixture.stopped(), contains(fixture.runs().getFirst().id()));
    }

    /** Guards against continuing a text whose weights the next batch does not accept. */
    @Test
    void runOfOldWeightsIsStoppedWhenItsBatchEnds() {
        fixture.engines(Batches.engine("e1", 2, 1));
        fixture.open(Batches.head("b1", 1), longItems(1), true);
        fixture.handle(new BatchInput.End(new BatchId("b1")));
        assertThat(fixture.stopped(), hasSize(1));
    }

    /** Guards against assigning new items to an engine from which runs were migrated because it is slow. */
    @Test
    void slowEngineGetsNoNewItemsWhileOthersHaveFreeSlots() {
        fixture.engines(Batches.engine("slow", 4, 1), Batches.engine("e2", 4, 1), Batches.engine("e3", 4, 1));
        fixture.open(Batches.head("b", 6), longItems(6), true);
        List<ItemRun> first = fixture.runs();
        for (int i = 0; i < 15; i++) {
            for (ItemRun run : first) {
                boolean slow = run.endpoint().id().equals(new EndpointId("slow"));
                fixture.generate(run, slow ? (i % 3 == 0 ? 1 : 0) : 3);
            }
            fixture.reportProgress(PERIOD_MS);
        }
        assertThat("both runs on the slow engine", fixture.stopped(), hasSize(2));
        fixture.open(Batches.head("b2", 2), Batches.items("new", 2), true);
        assertThat(fixture.run("new-0").endpoint().id(), is(not(new EndpointId("slow"))));
        assertThat(fixture.run("new-1").endpoint().id(), is(not(new EndpointId("slow"))));
    }

    private static List<BatchItem> longItems(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> Batches.item("a-" + i, "g-" + i, 7_200))
                .toList();
    }
}
