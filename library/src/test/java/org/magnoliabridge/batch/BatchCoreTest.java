package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.WeightVersion;

class BatchCoreTest {
    private final RunnerFixture rig = new RunnerFixture();

    /** Guards against items that queue at an engine behind others, and against uneven use of the engines. */
    @Test
    void neverPutsMoreItemsOnAnEngineThanItHasSlots() {
        rig.engines(Batches.engine("e1", 2, 1), Batches.engine("e2", 2, 1));
        rig.open(Batches.head("b", 6), Batches.items("a", 6), true);
        assertThat(rig.runs(), hasSize(4));
        assertThat(
                rig.runs().stream()
                        .filter(r -> r.endpoint().id().value().equals("e1"))
                        .count(),
                is(2L));
    }

    /** Guards against a step that waits for an item which was started last although it is the longest. */
    @Test
    void longestItemsStartFirst() {
        rig.engines(Batches.engine("e1", 1, 1));
        rig.open(
                Batches.head("b", 2), List.of(Batches.item("short", "g", 100), Batches.item("long", "g", 5_000)), true);
        assertThat(rig.started(), contains("long"));
    }

    /** Guards against texts of weights that are too old. */
    @Test
    void engineWithOldWeightsGetsNoItem() {
        rig.engines(Batches.engine("old", 4, 1), Batches.engine("new", 1, 2));
        rig.open(Batches.head("b", 3, 2, false), Batches.items("a", 3), true);
        assertThat(rig.runs(), hasSize(1));
        assertThat(rig.runs().getFirst().endpoint().id().value(), is("new"));
    }

    /** Guards against a text that starts over, or with a gap, when its engine breaks off. */
    @Test
    void brokenRunGoesOnAfterItsLastEventAtAnotherEngine() {
        rig.engines(Batches.engine("e1", 1, 1), Batches.engine("e2", 1, 1));
        rig.open(Batches.head("b", 1), Batches.items("a", 1), true);
        ItemRun first = rig.runs().getFirst();
        rig.end(first, new RunOutcome.Broken("reset"), Batches.event(1, "x", 1), Batches.event(2, "y", 1));
        ItemRun second = rig.runs().getLast();
        assertThat(second.lastEvent(), is(2L));
        assertThat(second.endpoint().id(), is(not(first.endpoint().id())));
        rig.end(second, new RunOutcome.Completed(), Batches.event(3, "z", 2));
        rig.confirmWrites();
        ItemResult result = rig.read("b", 0).getFirst();
        assertThat(result.text(), is("x\ny\nz"));
        assertThat(result.versions().toString(), is("[1, 2]"));
    }

    /** Guards against results of two versions on a route that asks for one. */
    @Test
    void singleVersionStartsOverWhenTheWeightsChange() {
        rig.engines(Batches.engine("e1", 1, 2));
        rig.open(Batches.head("b", 1, 1, true), Batches.items("a", 1), true);
        rig.end(rig.runs().getFirst(), new RunOutcome.Broken("reset"), Batches.event(1, "x", 1));
        rig.end(rig.runs().getLast(), new RunOutcome.Completed(), Batches.event(2, "y", 2));
        rig.advance(2_000);
        assertThat(rig.runs().getLast().lastEvent(), is(0L));
    }

    /** Guards against an item that is given up too early, or never. */
    @Test
    void itemIsGivenUpAfterItsAttempts() {
        rig.engines(Batches.engine("e1", 1, 1));
        rig.open(Batches.head("b", 1), Batches.items("a", 1), true);
        for (int i = 0; i < 3; i++) {
            assertThat(rig.runs(), hasSize(i + 1));
            rig.end(rig.runs().getLast(), new RunOutcome.Failed());
            rig.advance(2_000);
        }
        rig.confirmWrites();
        assertThat(rig.runs(), hasSize(3));
        assertThat(rig.read("b", 0).getFirst().completed(), is(false));
    }

    /** Guards against refusals that count as attempts, or that are repeated in a loop. */
    @Test
    void refusalsCountAsNoAttemptAndBackOff() {
        rig.engines(Batches.engine("e1", 1, 1));
        rig.open(Batches.head("b", 1), Batches.items("a", 1), true);
        for (int i = 0; i < 20; i++) {
            rig.end(rig.runs().getLast(), new RunOutcome.Refused(false));
            assertThat("no run at the moment of the refusal", rig.runs(), hasSize(i + 1));
            rig.advance(1_500);
        }
        assertThat(rig.runs(), hasSize(21));
    }

    /** Guards against work for a batch whose trainer goes on, and against items that start over in the next one. */
    @Test
    void endStopsRunsAndKeepsTextsForTheNextBatch() {
        rig.engines(Batches.engine("e1", 2, 1));
        rig.open(Batches.head("b1", 2), Batches.items("a", 2), true);
        List<ItemRun> first = rig.runs();
        rig.handle(new BatchInput.End(new BatchId("b1")));
        assertThat(rig.stopped(), hasSize(2));
        rig.end(first.get(0), new RunOutcome.Stopped(), Batches.event(1, "x", 1));
        rig.end(first.get(1), new RunOutcome.Completed(), Batches.event(1, "whole", 1));
        rig.open(Batches.head("b2", 2), Batches.items("a", 2), true);
        assertThat(rig.runs().getLast().lastEvent(), is(1L));
        assertThat(rig.runs(), hasSize(3));
    }

    /** Guards against a text of an earlier batch whose weights are too old for the next one. */
    @Test
    void textOfOldWeightsIsNotCarriedOver() {
        rig.engines(Batches.engine("e1", 2, 3));
        rig.open(Batches.head("b1", 1), Batches.items("a", 1), true);
        rig.handle(new BatchInput.End(new BatchId("b1")));
        rig.end(rig.runs().getFirst(), new RunOutcome.Stopped(), Batches.event(1, "x", 1));
        rig.open(Batches.head("b2", 1, 2, false), Batches.items("a", 1), true);
        assertThat(rig.runs().getLast().lastEvent(), is(0L));
    }

    /** Guards against results that are shown before they are stored. */
    @Test
    void resultIsShownOnlyOnceItIsStored() {
        rig.engines(Batches.engine("e1", 1, 1));
        rig.open(Batches.head("b", 1), Batches.items("a", 1), true);
        rig.end(rig.runs().getFirst(), new RunOutcome.Completed(), Batches.event(1, "x", 1));
        rig.handle(new BatchInput.Read(7, new BatchId("b"), Batches.TEAM, 0, 0));
        assertThat("the append is on its way", rig.isAnswered(7), is(false));
        rig.confirmWrites();
        assertThat(((ReadAnswer.Results) rig.answer(7)).results(), hasSize(1));
        assertThat(rig.read("b", 0), hasSize(1));
    }

    /** Guards against a reader that is shown nothing where another runner has listed a result that was read already. */
    @Test
    void nothingIsShownAtAPositionBeforeTheStoreWasAsked() {
        rig.engines(Batches.engine("e1", 1, 1));
        rig.open(Batches.head("b", 1), Batches.items("a", 1), true);
        rig.handle(new BatchInput.Read(7, new BatchId("b"), Batches.TEAM, 0, 0));
        assertThat(rig.isAnswered(7), is(false));
        ItemResult listed = new ItemResult(new ItemId("a-0"), true, "x", List.of(new WeightVersion(1)));
        rig.replyToReads(ResultSegment.of("n2-1", 0, List.of(listed)));
        assertThat(((ReadAnswer.Results) rig.answer(7)).results(), contains(listed));
    }

    /** Guards against results that wait for others for longer than their reader takes to ask again. */
    @Test
    void resultIsAppendedWithinHalfOfAReadersPoll() {
        rig.engines(Batches.engine("e1", 2, 1));
        rig.open(Batches.head("b", 2), Batches.items("a", 2), true);
        rig.end(rig.runs().getFirst(), new RunOutcome.Completed(), Batches.event(1, "x", 1));
        rig.advance(250);
        assertThat(rig.appends(), hasSize(1));
    }

    /** Guards against a team that reads another team's batch. */
    @Test
    void otherTeamFindsNothing() {
        rig.open(Batches.head("b", 1), Batches.items("a", 1), true);
        rig.handle(new BatchInput.Read(8, new BatchId("b"), new org.magnoliabridge.ids.TeamId("elm"), 0, 0));
        assertThat(rig.answer(8), instanceOf(ReadAnswer.Missing.class));
        rig.handle(new BatchInput.ReadBody(9, new BatchId("b"), Batches.TEAM, new ItemId("a-0")));
        assertThat(rig.answer(9), instanceOf(ReadAnswer.Body.class));
    }

    /** Guards against an item that stays open for good when its time is up, or its route is gone. */
    @Test
    void itemsAreGivenUpWithTheirTimeOrRoute() {
        rig.open(Batches.head("b", 1), Batches.items("a", 1), true);
        rig.advance(40_000);
        rig.confirmWrites();
        assertThat(rig.read("b", 0).getFirst().completed(), is(false));
    }
}
