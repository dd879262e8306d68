package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.gateway.RouteTable;
import org.magnoliabridge.ids.BatchId;

class ScoringTest {
    private static final ScoreOutcome SCORED = new ScoreOutcome.Scored("3e1b.07");

    private final RunnerFixture fixture = new RunnerFixture();

    /** Guards against a completed result without a score, and a score that was asked for too early. */
    @Test
    void itemHasAResultOnlyOnceItsTextIsScored() {
        fixture.engines(Batches.engine("e1", 1, 1), Batches.scorer("s1", 6));
        fixture.open(Batches.head("b", 1), Batches.scoredItems("a", 1), true);
        assertThat(fixture.scoreCalls(), empty());
        complete("a-0");
        fixture.confirmWrites();
        assertThat(fixture.appends(), empty());
        ScoreCall call = fixture.scoreCalls().getFirst();
        assertThat(call.request().id().value(), is("score-a-0"));
        fixture.end(call, SCORED);
        fixture.confirmWrites();
        assertThat(fixture.read("b", 0).getFirst().score(), is(Optional.of("3e1b.07")));
    }

    /** Guards against texts that wait for their scores and keep other items from running. */
    @Test
    void textThatWaitsForItsScoreOccupiesNoEngine() {
        fixture.engines(Batches.engine("e1", 1, 1));
        fixture.open(Batches.head("b", 2), Batches.scoredItems("a", 2), true);
        complete("a-0");
        assertThat(fixture.started(), contains("a-0", "a-1"));
    }

    /** Guards against an item that is given up before all attempts of its score have failed, or never. */
    @Test
    void itemIsGivenUpAfterAllAttemptsOfItsScore() {
        fixture.engines(Batches.engine("e1", 1, 1), Batches.scorer("s1", 6));
        fixture.open(Batches.head("b", 1), Batches.scoredItems("a", 1), true);
        complete("a-0");
        for (int i = 0; i < Batches.SCORE_ATTEMPTS; i++) {
            assertThat(fixture.scoreCalls(), hasSize(i + 1));
            fixture.confirmWrites();
            assertThat(fixture.appends(), empty());
            fixture.end(fixture.scoreCalls().getLast(), new ScoreOutcome.Failed());
            fixture.advance(1_000);
        }
        fixture.confirmWrites();
        assertThat(fixture.scoreCalls(), hasSize(Batches.SCORE_ATTEMPTS));
        assertThat(fixture.read("b", 0).getFirst().completed(), is(false));
    }

    /** Guards against refusals and lost answers that count as attempts. */
    @Test
    void callsThatWereRefusedOrLostAreNoAttempts() {
        fixture.engines(Batches.engine("e1", 1, 1), Batches.scorer("s1", 6));
        fixture.open(Batches.head("b", 1), Batches.scoredItems("a", 1), true);
        complete("a-0");
        for (int i = 0; i < 12; i++) {
            ScoreOutcome outcome =
                    i % 2 == 0 ? new ScoreOutcome.Refused(false) : new ScoreOutcome.Broken("no answer in time");
            fixture.end(fixture.scoreCalls().getLast(), outcome);
            fixture.advance(1_000);
        }
        fixture.end(fixture.scoreCalls().getLast(), SCORED);
        fixture.confirmWrites();
        assertThat(fixture.read("b", 0).getFirst().completed(), is(true));
    }

    /** Guards against a silent endpoint that is asked again while another one is available. */
    @Test
    void unansweredCallIsRepeatedAtAnotherEndpointWithMoreTime() {
        fixture.engines(Batches.engine("e1", 1, 1), Batches.scorer("s1", 6), Batches.scorer("s2", 6));
        fixture.open(Batches.head("b", 1), Batches.scoredItems("a", 1), true);
        complete("a-0");
        ScoreCall first = fixture.scoreCalls().getFirst();
        fixture.end(first, new ScoreOutcome.Broken("no answer in time"));
        fixture.advance(100);
        ScoreCall second = fixture.scoreCalls().getLast();
        assertThat(second.endpoint().id(), is(not(first.endpoint().id())));
        assertThat(second.silenceMs(), is(2 * first.silenceMs()));
    }

    /** Guards against a repeated call that is granted more time than the first one had. */
    @Test
    void allCallsOfAnItemEndAtTheSameTime() {
        fixture.engines(Batches.engine("e1", 1, 1), Batches.scorer("s1", 6));
        fixture.open(Batches.head("b", 1), Batches.scoredItems("a", 1), true);
        complete("a-0");
        ScoreCall first = fixture.scoreCalls().getFirst();
        fixture.advance(700);
        fixture.end(first, new ScoreOutcome.Broken("reset"));
        fixture.advance(300);
        assertThat(fixture.scoreCalls().getLast().limitMs(), is(first.limitMs() - 1_000));
    }

    /**
     * Guards against callers' requests that queue behind a burst of calls. Replays the load: forty texts complete at
     * the same time, and the service has two endpoints with six slots.
     */
    @Test
    void burstOfTextsLeavesSlotsForCallers() {
        fixture.engines(Batches.engine("e1", 40, 1), Batches.scorer("s1", 6), Batches.scorer("s2", 6));
        fixture.open(Batches.head("b", 40), Batches.scoredItems("a", 40), true);
        fixture.runs().forEach(r -> fixture.end(r, new RunOutcome.Completed(), Batches.event(1, "x", 1)));
        Map<String, Integer> callsAt = new HashMap<>();
        fixture.scoreCalls().forEach(c -> callsAt.merge(c.endpoint().id().value(), 1, Integer::sum));
        assertThat(callsAt, is(Map.of("s1", 4, "s2", 4)));
        int ended = 0;
        while (ended < fixture.scoreCalls().size()) {
            assertThat(fixture.scoreCalls().size() - ended, lessThanOrEqualTo(8));
            fixture.end(fixture.scoreCalls().get(ended++), SCORED);
        }
        assertThat(ended, is(40));
    }

    /** Guards against a team whose few texts wait behind all texts of another team. */
    @Test
    void teamsTakeTurns() {
        fixture.engines(Batches.engine("e1", 40, 1), Batches.scorer("s1", 3));
        fixture.open(Batches.head("large", 20), Batches.scoredItems("a", 20), true);
        fixture.runs().forEach(r -> fixture.end(r, new RunOutcome.Completed(), Batches.event(1, "x", 1)));
        fixture.advance(100);
        fixture.open(Batches.headOf("small", "birch", 1), Batches.scoredItems("z", 1), true);
        complete("z-0");
        fixture.end(fixture.scoreCalls().getFirst(), SCORED);
        assertThat(fixture.scoreCalls().getLast().item().value(), is("z-0"));
    }

    /** Guards against calls for a batch that its trainer has ended. */
    @Test
    void endOfTheBatchStopsItsCalls() {
        fixture.engines(Batches.engine("e1", 2, 1), Batches.scorer("s1", 1));
        fixture.open(Batches.head("b", 2), Batches.scoredItems("a", 2), true);
        complete("a-0");
        complete("a-1");
        ScoreCall call = fixture.scoreCalls().getFirst();
        fixture.handle(new BatchInput.End(new BatchId("b")));
        assertThat(fixture.stoppedScoreCalls(), hasItem(call.id()));
        fixture.end(call, new ScoreOutcome.Stopped());
        fixture.advance(1_000);
        assertThat(fixture.scoreCalls(), hasSize(1));
    }

    /** Guards against a text that is complete before its batch is opened and then never scored. */
    @Test
    void textOfAnEarlierBatchIsScoredForTheNextOne() {
        fixture.engines(Batches.engine("e1", 1, 2), Batches.scorer("s1", 1));
        fixture.open(Batches.head("b", 1), Batches.scoredItems("a", 1), true);
        fixture.end(fixture.run("a-0"), new RunOutcome.Completed(), Batches.event(1, "x", 2));
        fixture.handle(new BatchInput.End(new BatchId("b")));
        fixture.end(fixture.scoreCalls().getFirst(), new ScoreOutcome.Stopped());
        fixture.open(Batches.head("c", 1, 2, false), Batches.scoredItems("a", 1), true);
        ScoreCall call = fixture.scoreCalls().getLast();
        assertThat(call.batch().id(), is(new BatchId("c")));
        fixture.end(call, SCORED);
        fixture.confirmWrites();
        assertThat(fixture.read("c", 0).getFirst().score(), is(Optional.of("3e1b.07")));
        assertThat("the text was not generated again", fixture.runs(), hasSize(1));
    }

    /** Guards against calls to a service that the current configuration does not name for them. */
    @Test
    void callFollowsTheCurrentRoute() {
        fixture.engines(Batches.engine("e1", 1, 1), Batches.scorer("s1", 6));
        fixture.handle(new BatchInput.Routes(
                Batches.CONFIG_VERSION, Map.of(Batches.ROUTE, Batches.TARGET), new RouteTable(List.of())));
        fixture.open(Batches.head("b", 1), Batches.scoredItems("a", 1), true);
        complete("a-0");
        assertThat(fixture.scoreCalls(), empty());
        fixture.handle(
                new BatchInput.Routes(Batches.CONFIG_VERSION, Map.of(Batches.ROUTE, Batches.TARGET), Batches.SCORERS));
        assertThat(fixture.scoreCalls(), hasSize(1));
    }

    /** Guards against an endpoint that has left the list, or is leaving, and still gets calls. */
    @Test
    void callsGoToListedEndpointsOnly() {
        fixture.engines(Batches.engine("e1", 1, 1), Batches.scorer("s1", 6));
        fixture.open(Batches.head("b", 1), Batches.scoredItems("a", 1), true);
        fixture.engines(Batches.engine("e1", 1, 1));
        complete("a-0");
        assertThat(fixture.scoreCalls(), empty());
    }

    private void complete(String item) {
        fixture.end(fixture.run(item), new RunOutcome.Completed(), Batches.event(1, "x", 1));
    }
}
