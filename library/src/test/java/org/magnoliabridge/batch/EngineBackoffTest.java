package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.WeightVersion;

/** Tests a fully used deployment in which one engine refuses all items for a second, as during a weight load. */
class EngineBackoffTest {
    private static final EndpointId REFUSING = new EndpointId("e1");
    private static final long REFUSES_FOR_MS = 1_000;
    private static final long STEP_MS = 10;

    private final RunnerFixture fixture = new RunnerFixture();
    private final Set<ItemRunId> ended = new HashSet<>();

    /** Guards against sending every waiting item in turn to a refusing engine because only it has free slots. */
    @Test
    void refusingEngineIsTriedAFewTimesASecond() {
        fixture.engines(Batches.engine("e1", 12, 1), Batches.engine("e2", 12, 1));
        fixture.open(Batches.head("b", 160), Batches.items("a", 160), true);
        long laterRefusals = 0;
        int initialRefusals = refuseAll();
        for (long t = 0; t < REFUSES_FOR_MS; t += STEP_MS) {
            fixture.advance(STEP_MS);
            laterRefusals += refuseAll();
        }
        assertThat("all slots of the engine", initialRefusals, is(12));
        // Retries follow 100, 200 and 400 ms after the first refusal, with at most one refusal per slot each time.
        assertThat("refusals after the first", laterRefusals, lessThanOrEqualTo(3 * 12L));
    }

    /** Guards against an engine that stays unused after it has stopped refusing. */
    @Test
    void engineIsFullyUsedSoonAfterItsLastRefusal() {
        fixture.engines(Batches.engine("e1", 12, 1), Batches.engine("e2", 12, 1));
        fixture.open(Batches.head("b", 160), Batches.items("a", 160), true);
        for (long t = 0; t < REFUSES_FOR_MS; t += STEP_MS) {
            refuseAll();
            fixture.advance(STEP_MS);
        }
        refuseAll();
        fixture.advance(400);
        assertThat(open(REFUSING), hasSize(12));
    }

    /** Guards against sending items to an engine that reports that it is loading weights. */
    @Test
    void loadingEngineGetsNoItems() {
        EngineState loading = new EngineState(
                Batches.endpoint("e1"), 12, Map.of(Batches.MODEL, new WeightVersion(1)), Set.of(Batches.MODEL));
        fixture.engines(loading, Batches.engine("e2", 2, 1));
        fixture.open(Batches.head("b", 8), Batches.items("a", 8), true);
        assertThat(open(REFUSING), hasSize(0));
        fixture.engines(Batches.engine("e1", 12, 1), Batches.engine("e2", 2, 1));
        assertThat(open(REFUSING), hasSize(6));
    }

    private int refuseAll() {
        List<ItemRun> runs = open(REFUSING);
        for (ItemRun run : runs) {
            ended.add(run.id());
            fixture.end(run, new RunOutcome.Refused(false));
        }
        return runs.size();
    }

    private List<ItemRun> open(EndpointId engine) {
        return fixture.runs().stream()
                .filter(r -> r.endpoint().id().equals(engine) && !ended.contains(r.id()))
                .toList();
    }
}
