package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.ItemId;

class BatchCoreTest {
    private final List<BatchEffect> heard = new ArrayList<>();
    private long nowMs = 1_000;
    private long wallMs = 1_000;
    private final BatchCore core = new BatchCore("n1-1", () -> wallMs);

    @BeforeEach
    void knowTheRoute() {
        tell(new BatchInput.Routes(Map.of(Batches.ROUTE, Batches.TARGET)));
        tell(new BatchInput.Exclusive(OptionalLong.of(0)));
    }

    /** Guards against items that queue at an engine behind others, and against uneven use of the engines. */
    @Test
    void neverPutsMoreItemsOnAnEngineThanItHasSlots() {
        engines(Batches.engine("e1", 2, 1), Batches.engine("e2", 2, 1));
        open(Batches.head("b", 6), Batches.items("a", 6), true);
        assertThat(runs(), hasSize(4));
        assertThat(
                runs().stream()
                        .filter(r -> r.endpoint().id().value().equals("e1"))
                        .count(),
                is(2L));
    }

    /** Guards against a step that waits for an item which was started last although it is the longest. */
    @Test
    void longestItemsStartFirst() {
        engines(Batches.engine("e1", 1, 1));
        open(Batches.head("b", 2), List.of(Batches.item("short", "g", 100), Batches.item("long", "g", 5_000)), true);
        assertThat(started(), contains("long"));
    }

    /** Guards against texts of weights that are too old. */
    @Test
    void engineWithOldWeightsGetsNoItem() {
        engines(Batches.engine("old", 4, 1), Batches.engine("new", 1, 2));
        open(Batches.head("b", 3, 2, false), Batches.items("a", 3), true);
        assertThat(runs(), hasSize(1));
        assertThat(runs().getFirst().endpoint().id().value(), is("new"));
    }

    /** Guards against a text that starts over, or with a gap, when its engine breaks off. */
    @Test
    void brokenRunGoesOnAfterItsLastEventAtAnotherEngine() {
        engines(Batches.engine("e1", 1, 1), Batches.engine("e2", 1, 1));
        open(Batches.head("b", 1), Batches.items("a", 1), true);
        ItemRun first = runs().getFirst();
        end(first, new RunOutcome.Broken("reset"), Batches.event(1, "x", 1), Batches.event(2, "y", 1));
        ItemRun second = runs().getLast();
        assertThat(second.lastEvent(), is(2L));
        assertThat(second.endpoint().id(), is(not(first.endpoint().id())));
        end(second, new RunOutcome.Completed(), Batches.event(3, "z", 2));
        written();
        ItemResult result = read(0).getFirst();
        assertThat(result.text(), is("x\ny\nz"));
        assertThat(result.versions().toString(), is("[1, 2]"));
    }

    /** Guards against results of two versions on a route that asks for one. */
    @Test
    void singleVersionStartsOverWhenTheWeightsChange() {
        engines(Batches.engine("e1", 1, 2));
        open(Batches.head("b", 1, 1, true), Batches.items("a", 1), true);
        end(runs().getFirst(), new RunOutcome.Broken("reset"), Batches.event(1, "x", 1));
        end(runs().getLast(), new RunOutcome.Completed(), Batches.event(2, "y", 2));
        nowMs += 2_000;
        tell(new BatchInput.Tick());
        assertThat(runs().getLast().lastEvent(), is(0L));
    }

    /** Guards against an item that is given up too early, or never. */
    @Test
    void itemIsGivenUpAfterItsAttempts() {
        engines(Batches.engine("e1", 1, 1));
        open(Batches.head("b", 1), Batches.items("a", 1), true);
        for (int i = 0; i < 3; i++) {
            assertThat(runs(), hasSize(i + 1));
            end(runs().getLast(), new RunOutcome.Failed());
            nowMs += 2_000;
            tell(new BatchInput.Tick());
        }
        written();
        assertThat(runs(), hasSize(3));
        assertThat(read(0).getFirst().completed(), is(false));
    }

    /** Guards against refusals that count as attempts, or that are repeated in a loop. */
    @Test
    void refusalsCountAsNoAttemptAndBackOff() {
        engines(Batches.engine("e1", 1, 1));
        open(Batches.head("b", 1), Batches.items("a", 1), true);
        for (int i = 0; i < 20; i++) {
            end(runs().getLast(), new RunOutcome.Refused(false));
            assertThat("no run at the moment of the refusal", runs(), hasSize(i + 1));
            nowMs += 2_000;
            tell(new BatchInput.Tick());
        }
        assertThat(runs(), hasSize(21));
    }

    /** Guards against work for a batch whose trainer goes on, and against items that start over in the next one. */
    @Test
    void endStopsRunsAndKeepsTextsForTheNextBatch() {
        engines(Batches.engine("e1", 2, 1));
        open(Batches.head("b1", 2), Batches.items("a", 2), true);
        List<ItemRun> first = runs();
        tell(new BatchInput.End(new BatchId("b1")));
        long stopped =
                heard.stream().filter(BatchEffect.StopRun.class::isInstance).count();
        assertThat(stopped, is(2L));
        end(first.get(0), new RunOutcome.Stopped(), Batches.event(1, "x", 1));
        end(first.get(1), new RunOutcome.Completed(), Batches.event(1, "whole", 1));
        open(Batches.head("b2", 2), Batches.items("a", 2), true);
        assertThat(runs().getLast().lastEvent(), is(1L));
        assertThat(runs(), hasSize(3));
    }

    /** Guards against a text of an earlier batch whose weights are too old for the next one. */
    @Test
    void textOfOldWeightsIsNotCarriedOver() {
        engines(Batches.engine("e1", 2, 3));
        open(Batches.head("b1", 1), Batches.items("a", 1), true);
        tell(new BatchInput.End(new BatchId("b1")));
        end(runs().getFirst(), new RunOutcome.Stopped(), Batches.event(1, "x", 1));
        open(Batches.head("b2", 1, 2, false), Batches.items("a", 1), true);
        assertThat(runs().getLast().lastEvent(), is(0L));
    }

    /** Guards against results that are shown before they are stored. */
    @Test
    void resultIsShownOnlyOnceItIsStored() {
        engines(Batches.engine("e1", 1, 1));
        open(Batches.head("b", 1), Batches.items("a", 1), true);
        end(runs().getFirst(), new RunOutcome.Completed(), Batches.event(1, "x", 1));
        tell(new BatchInput.Read(7, new BatchId("b"), Batches.TEAM, 0, 0));
        assertThat(((ReadAnswer.Results) answer(7)).results(), is(empty()));
        written();
        assertThat(read(0), hasSize(1));
    }

    /** Guards against a team that reads another team's batch. */
    @Test
    void otherTeamFindsNothing() {
        open(Batches.head("b", 1), Batches.items("a", 1), true);
        tell(new BatchInput.Read(8, new BatchId("b"), new org.magnoliabridge.ids.TeamId("elm"), 0, 0));
        assertThat(answer(8), instanceOf(ReadAnswer.Missing.class));
        tell(new BatchInput.ReadBody(9, new BatchId("b"), Batches.TEAM, new ItemId("a-0")));
        assertThat(answer(9), instanceOf(ReadAnswer.Body.class));
    }

    /** Guards against an item that stays open for good when its time is up, or its route is gone. */
    @Test
    void itemsAreGivenUpWithTheirTimeOrRoute() {
        open(Batches.head("b1", 1), Batches.items("a", 1), true);
        wallMs = 40_000;
        tell(new BatchInput.Tick());
        written();
        assertThat(read(0).getFirst().completed(), is(false));
    }

    private void open(BatchHead head, List<BatchItem> items, boolean fresh) {
        tell(new BatchInput.Open(head, items, fresh));
    }

    private void engines(EngineState... engines) {
        tell(new BatchInput.Engines(List.of(engines)));
    }

    private void end(ItemRun run, RunOutcome outcome, Transcript.Event... events) {
        tell(new BatchInput.RunEnded(run.id(), outcome, List.of(events)));
    }

    private void written() {
        nowMs += 300;
        tell(new BatchInput.Tick());
        heard.stream()
                .filter(BatchEffect.Store.class::isInstance)
                .map(BatchEffect.Store.class::cast)
                .toList()
                .forEach(s -> tell(new BatchInput.StoreReplied(s.tag(), new StoreReply.Written(1))));
    }

    private List<ItemResult> read(int after) {
        tell(new BatchInput.Read(99 + nowMs, new BatchId(lastBatch()), Batches.TEAM, after, 0));
        return ((ReadAnswer.Results) answer(99 + nowMs)).results();
    }

    private String lastBatch() {
        return core.knows(new BatchId("b")) ? "b" : "b1";
    }

    private ReadAnswer answer(long ticket) {
        return heard.stream()
                .filter(BatchEffect.Answer.class::isInstance)
                .map(BatchEffect.Answer.class::cast)
                .filter(a -> a.ticket() == ticket)
                .findFirst()
                .orElseThrow()
                .answer();
    }

    private List<ItemRun> runs() {
        return heard.stream()
                .filter(BatchEffect.StartRun.class::isInstance)
                .map(e -> ((BatchEffect.StartRun) e).run())
                .toList();
    }

    private List<String> started() {
        return runs().stream().map(r -> r.item().id().value()).toList();
    }

    private void tell(BatchInput input) {
        heard.addAll(core.on(nowMs, input));
    }
}
