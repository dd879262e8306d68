package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.EndpointId;

/** Replays the load of an evacuation on the batches: items run in the data centre when it is emptied. */
class EvacuatedRunsTest {
    private static final EngineState HERE = Batches.engine("e1", 4, 1);
    private static final EngineState THERE = Batches.engine("e2", 4, 1);

    private final RunnerFixture fixture = new RunnerFixture();

    /** Guards against items that go on in the evacuated data centre, or that lose the events they have. */
    @Test
    void itemsMoveAndResumeAfterTheirLastEvent() {
        fixture.engines(HERE, THERE);
        fixture.open(Batches.head("b", 8), Batches.items("a", 8), true);
        Map<String, EndpointId> startedAt = new HashMap<>();
        fixture.runs()
                .forEach(r -> startedAt.put(r.item().id().value(), r.endpoint().id()));
        evacuateHere(THERE);
        assertThat("the four runs there", fixture.stopped(), hasSize(4));
        assertThat("none runs twice at a time", fixture.runs(), hasSize(8));
        for (ItemRunId stopped : List.copyOf(fixture.stopped())) {
            fixture.end(runOf(stopped), new RunOutcome.Stopped(), Batches.event(1, "x", 1), Batches.event(2, "y", 1));
        }
        assertThat("the other engine has no slot free", fixture.runs(), hasSize(8));
        List<ItemRun> elsewhere = fixture.runs().stream()
                .filter(r -> r.endpoint().id().equals(id(THERE)))
                .toList();
        assertThat(elsewhere, hasSize(4));
        elsewhere.forEach(r -> fixture.end(r, new RunOutcome.Completed(), Batches.event(1, "z", 1)));
        List<ItemRun> resumed = fixture.runs().subList(8, fixture.runs().size());
        assertThat(resumed, hasSize(4));
        for (ItemRun run : resumed) {
            assertThat(run.endpoint().id(), is(id(THERE)));
            assertThat(startedAt.get(run.item().id().value()), is(id(HERE)));
            assertThat(run.lastEvent(), is(2L));
            fixture.end(run, new RunOutcome.Completed(), Batches.event(3, "z", 1));
        }
        fixture.confirmWrites();
        fixture.confirmWrites();
        List<ItemResult> results = fixture.read("b", 0);
        assertThat(results, hasSize(8));
        assertThat(results.stream().filter(r -> r.text().equals("x\ny\nz")).toList(), hasSize(4));
    }

    /** Guards against an item that a move counts as a failed attempt, and is given up for it. */
    @Test
    void movesAreNoFailedAttempts() {
        EngineState small = Batches.engine("e1", 1, 1);
        EngineState other = Batches.engine("e2", 1, 1);
        fixture.engines(small);
        fixture.open(Batches.head("b", 1), Batches.items("a", 1), true);
        for (int i = 0; i < 10; i++) {
            EngineState from = i % 2 == 0 ? small : other;
            EngineState to = i % 2 == 0 ? other : small;
            fixture.handle(new BatchInput.Engines(List.of(to), Set.of(id(from))));
            fixture.end(fixture.runs().getLast(), new RunOutcome.Stopped(), Batches.event(i + 1, "e", 1));
            assertThat(fixture.runs(), hasSize(i + 2));
            assertThat(fixture.runs().getLast().endpoint().id(), is(id(to)));
            assertThat(fixture.runs().getLast().lastEvent(), is(i + 1L));
        }
    }

    /** Guards against a run that is stopped although nothing else could go on with its text. */
    @Test
    void runsGoOnIfEveryDataCentreIsEvacuated() {
        fixture.engines(HERE, THERE);
        fixture.open(Batches.head("b", 8), Batches.items("a", 8), true);
        fixture.handle(new BatchInput.Engines(List.of(), Set.of(id(HERE), id(THERE))));
        assertThat(fixture.stopped(), is(empty()));
        fixture.end(fixture.run("a-0"), new RunOutcome.Broken("reset"), Batches.event(1, "x", 1));
        assertThat("it waits until an engine returns", fixture.runs(), hasSize(8));
        fixture.engines(HERE, THERE);
        assertThat(fixture.run("a-0").lastEvent(), is(1L));
        assertThat(fixture.runs(), hasSize(9));
    }

    /** Guards against a run that is moved to an engine whose weights its batch must not use. */
    @Test
    void runsGoOnIfNoOtherEngineHasTheWeights() {
        fixture.engines(Batches.engine("e1", 1, 3), Batches.engine("e2", 1, 1));
        fixture.open(Batches.head("b", 1, 2, false), Batches.items("a", 1), true);
        assertThat(fixture.runs().getFirst().endpoint().id(), is(id(HERE)));
        evacuateHere(Batches.engine("e2", 1, 1));
        assertThat(fixture.stopped(), is(empty()));
        evacuateHere(Batches.engine("e2", 1, 3));
        assertThat(fixture.stopped(), hasSize(1));
    }

    /** Guards against a run that is stopped again for each tick of an evacuation. */
    @Test
    void runIsStoppedOnce() {
        fixture.engines(Batches.engine("e1", 1, 1));
        fixture.open(Batches.head("b", 1), Batches.items("a", 1), true);
        for (int i = 0; i < 5; i++) {
            evacuateHere(THERE);
        }
        assertThat(fixture.stopped(), contains(fixture.runs().getFirst().id()));
    }

    /** Guards against a run of an ended batch, which nobody resumes, that is stopped before its group comes again. */
    @Test
    void lingeringRunOfAnEndedBatchMovesWithTheNextBatch() {
        fixture.engines(Batches.engine("e1", 1, 3));
        fixture.open(Batches.head("b", 1, 2, false), Batches.items("a", 1), true);
        fixture.handle(new BatchInput.End(new BatchId("b")));
        evacuateHere(Batches.engine("e2", 1, 3));
        assertThat(fixture.stopped(), is(empty()));
        fixture.open(Batches.head("c", 1, 3, false), Batches.items("a", 1), true);
        evacuateHere(Batches.engine("e2", 1, 3));
        assertThat(fixture.stopped(), hasSize(1));
    }

    /** Guards against score calls that start in the evacuated data centre. */
    @Test
    void scoresAreAskedForElsewhere() {
        EngineState scorerHere = Batches.scorer("s1", 3);
        EngineState scorerThere = Batches.scorer("s2", 3);
        fixture.engines(HERE, THERE, scorerHere, scorerThere);
        fixture.open(Batches.head("b", 6), Batches.scoredItems("a", 6), true);
        fixture.handle(new BatchInput.Engines(List.of(THERE, scorerThere), Set.of(id(HERE), id(scorerHere))));
        for (ItemRun run : List.copyOf(fixture.runs())) {
            fixture.end(run, new RunOutcome.Completed(), Batches.event(1, "x", 1));
        }
        Set<EndpointId> asked = new HashSet<>();
        fixture.scoreCalls().forEach(c -> asked.add(c.endpoint().id()));
        assertThat(asked, contains(id(scorerThere)));
        assertThat(fixture.scoreCalls().size(), is(lessThanOrEqualTo(2)));
    }

    private void evacuateHere(EngineState... left) {
        fixture.handle(new BatchInput.Engines(List.of(left), Set.of(id(HERE))));
    }

    private ItemRun runOf(ItemRunId id) {
        return fixture.runs().stream()
                .filter(r -> r.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private static EndpointId id(EngineState engine) {
        return engine.endpoint().id();
    }
}
