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

    /** Guards against a step that waits for an engine which has gone silent although its connections stay open. */
    @Test
    void silentRunGoesOnAtAnotherEngine() {
        rig.engines(Batches.engine("e1", 2, 1), Batches.engine("e2", 2, 1));
        rig.open(Batches.head("b", 2), longItems(2), true);
        ItemRun silent = rig.runs().getFirst();
        ItemRun sound = rig.runs().getLast();
        for (int i = 0; i < 6; i++) {
            rig.generate(sound, 2);
            rig.reportProgress(PERIOD_MS);
        }
        assertThat("no longer than a slow event may take", rig.stopped(), is(empty()));
        for (int i = 0; i < 3; i++) {
            rig.generate(sound, 2);
            rig.reportProgress(PERIOD_MS);
        }
        assertThat(rig.stopped(), contains(silent.id()));
        assertThat("the first run has not ended yet", rig.runs(), hasSize(2));
        rig.end(silent, new RunOutcome.Stopped(), Batches.event(1, "x", 1));
        ItemRun next = rig.run(silent.item().id().value());
        assertThat(next.endpoint().id(), is(not(silent.endpoint().id())));
        assertThat(next.lastEvent(), is(1L));
    }

    /** Guards against runs that wander although every engine pauses, or although there is nowhere to go. */
    @Test
    void silentRunStaysWhereNoOtherEngineHasRoom() {
        rig.engines(Batches.engine("e1", 1, 1), Batches.engine("e2", 1, 1));
        rig.open(Batches.head("b", 2), longItems(2), true);
        for (int i = 0; i < 20; i++) {
            rig.reportProgress(PERIOD_MS);
        }
        assertThat(rig.stopped(), is(empty()));
    }

    /** Guards against runs that leave an engine because it loads weights, which takes a second. */
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

    /** Guards against a text that starts over when its group is asked for again while it is still being made. */
    @Test
    void runOfAnEndedBatchGoesOnForTheNextOne() {
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

    /** Guards against engines that stay busy for a batch that nobody continues. */
    @Test
    void runOfAnEndedBatchIsStoppedWhenNoBatchAsksForItAgain() {
        rig.engines(Batches.engine("e1", 2, 2));
        rig.open(Batches.head("b1", 1), longItems(1), true);
        rig.handle(new BatchInput.End(new BatchId("b1")));
        rig.advance(3_000);
        assertThat(rig.stopped(), contains(rig.runs().getFirst().id()));
    }

    /** Guards against a text of weights that the next batch does not take. */
    @Test
    void runOfOldWeightsIsStoppedWhenItsBatchEnds() {
        rig.engines(Batches.engine("e1", 2, 1));
        rig.open(Batches.head("b1", 1), longItems(1), true);
        rig.handle(new BatchInput.End(new BatchId("b1")));
        assertThat(rig.stopped(), hasSize(1));
    }

    /** Guards against an engine that gets the next item although its last run went silent there. */
    @Test
    void slowEngineGetsNoNewItemsWhileOthersHaveRoom() {
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
        assertThat("both runs on it", rig.stopped(), hasSize(2));
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
