package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.WeightVersion;

class RunTrackerTest {
    private static final long PERIOD_MS = 100;

    private final RunnerFixture rig = new RunnerFixture();

    /** Guards against a step that waits for an engine which sends no events although its connections stay open. */
    @Test
    void silentRunResumesAtAnotherEngine() {
        rig.engines(Batches.engine("e1", 2, 1), Batches.engine("e2", 2, 1));
        rig.open(Batches.head("b", 2), longItems(2), true);
        ItemRun silent = rig.runs().getFirst();
        ItemRun healthy = rig.runs().getLast();
        for (int i = 0; i < 6; i++) {
            rig.generate(healthy, 2);
            rig.reportProgress(PERIOD_MS);
        }
        assertThat("silence within the time that a slow event may take", rig.stopped(), is(empty()));
        for (int i = 0; i < 3; i++) {
            rig.generate(healthy, 2);
            rig.reportProgress(PERIOD_MS);
        }
        assertThat(rig.stopped(), contains(silent.id()));
        assertThat("the first run has not ended yet", rig.runs(), hasSize(2));
        rig.end(silent, new RunOutcome.Stopped(), Batches.event(1, "x", 1));
        ItemRun next = rig.run(silent.item().id().value());
        assertThat(next.endpoint().id(), is(not(silent.endpoint().id())));
        assertThat(next.lastEvent(), is(1L));
    }

    /** Guards against migrating runs although every engine pauses, or although no other engine has a free slot. */
    @Test
    void silentRunStaysIfNoOtherEngineHasAFreeSlot() {
        rig.engines(Batches.engine("e1", 1, 1), Batches.engine("e2", 1, 1));
        rig.open(Batches.head("b", 2), longItems(2), true);
        for (int i = 0; i < 20; i++) {
            rig.reportProgress(PERIOD_MS);
        }
        assertThat(rig.stopped(), is(empty()));
    }

    /** Guards against migrating runs away from an engine that loads weights, which takes a second. */
    @Test
    void loadingEngineIsNotSilent() {
        EngineState loading =
                new EngineState(Batches.endpoint("e1"), 2, Map.of(Batches.MODEL, new WeightVersion(1)), true);
        rig.engines(Batches.engine("e1", 2, 1));
        rig.open(Batches.head("b", 1), longItems(1), true);
        rig.engines(loading, Batches.engine("e2", 2, 1));
        for (int i = 0; i < 12; i++) {
            rig.reportProgress(PERIOD_MS);
        }
        assertThat(rig.stopped(), is(empty()));
    }

    /** Guards against a text that restarts when its group is resubmitted while the text is still being generated. */
    @Test
    void runOfAnEndedBatchContinuesForTheNextOne() {
        rig.engines(Batches.engine("e1", 2, 2));
        rig.open(Batches.head("b1", 1), longItems(1), true);
        ItemRun run = rig.runs().getFirst();
        rig.handle(new BatchInput.End(new BatchId("b1")));
        assertThat(rig.stopped(), is(empty()));
        rig.advance(500);
        rig.open(Batches.head("b2", 1, 2, false), longItems(1), true);
        rig.advance(100);
        assertThat("no second run", rig.runs(), hasSize(1));
        rig.end(run, new RunOutcome.Completed(), Batches.event(1, "whole", 2));
        rig.advance(1_000);
        rig.confirmWrites();
        assertThat(rig.read("b2", 0).getFirst().text(), is("whole"));
    }

    /** Guards against engines that keep running items of an ended batch that are not resubmitted. */
    @Test
    void runOfAnEndedBatchIsStoppedIfItIsNotResubmitted() {
        rig.engines(Batches.engine("e1", 2, 2));
        rig.open(Batches.head("b1", 1), longItems(1), true);
        rig.handle(new BatchInput.End(new BatchId("b1")));
        rig.advance(3_000);
        assertThat(rig.stopped(), contains(rig.runs().getFirst().id()));
    }

    /** Guards against continuing a text whose weights the next batch does not accept. */
    @Test
    void runOfOldWeightsIsStoppedWhenItsBatchEnds() {
        rig.engines(Batches.engine("e1", 2, 1));
        rig.open(Batches.head("b1", 1), longItems(1), true);
        rig.handle(new BatchInput.End(new BatchId("b1")));
        assertThat(rig.stopped(), hasSize(1));
    }

    /** Guards against assigning new items to an engine from which runs were migrated because it is slow. */
    @Test
    void slowEngineGetsNoNewItemsWhileOthersHaveFreeSlots() {
        rig.engines(Batches.engine("slow", 4, 1), Batches.engine("e2", 4, 1), Batches.engine("e3", 4, 1));
        rig.open(Batches.head("b", 6), longItems(6), true);
        List<ItemRun> first = rig.runs();
        for (int i = 0; i < 15; i++) {
            for (ItemRun run : first) {
                boolean slow = run.endpoint().id().equals(new EndpointId("slow"));
                rig.generate(run, slow ? (i % 3 == 0 ? 1 : 0) : 3);
            }
            rig.reportProgress(PERIOD_MS);
        }
        assertThat("both runs on the slow engine", rig.stopped(), hasSize(2));
        rig.open(Batches.head("b2", 2), Batches.items("new", 2), true);
        assertThat(rig.run("new-0").endpoint().id(), is(not(new EndpointId("slow"))));
        assertThat(rig.run("new-1").endpoint().id(), is(not(new EndpointId("slow"))));
    }

    private static List<BatchItem> longItems(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> Batches.item("a-" + i, "g-" + i, 7_200))
                .toList();
    }
}
