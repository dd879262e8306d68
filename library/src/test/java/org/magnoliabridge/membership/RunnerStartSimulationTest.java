package org.magnoliabridge.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Elections of nodes that start within a second or two after a common loss of power, on a virtual clock. */
class RunnerStartSimulationTest {
    private static final int NODES = 66;
    private static final int LARGE_NODES = 8;
    private static final int LARGE = 1_500;
    private static final int SMALL = 360;
    private static final int RUNS = 10;
    // From the last start to a runner.
    private static final long LIMIT_MS = 3_000;

    /** What happened in one start of the deployment. */
    private record Outcome(int elected, int handovers, long firstMs, long runners) {}

    private static Outcome run(int nodes, int listed, long spreadMs, long seed, long durationMs) {
        Random random = new Random(seed);
        ElectionCluster cluster = new ElectionCluster(listed, seed, i -> i % NODES < LARGE_NODES ? LARGE : SMALL);
        Map<Integer, Long> startsMs = new HashMap<>();
        for (int i = 0; i < nodes; i++) {
            startsMs.put(i, spreadMs == 0 ? 0 : random.nextLong(spreadMs));
        }
        while (cluster.elapsedMs() < durationMs) {
            startsMs.forEach((index, atMs) -> {
                if (atMs <= cluster.elapsedMs() && !cluster.cluster.nodes.containsKey(index)) {
                    cluster.start(index, 1);
                }
            });
            cluster.step();
        }
        return new Outcome(
                cluster.elected,
                cluster.handovers,
                cluster.firstMs,
                cluster.runners().size());
    }

    /** Guards against several runners, and so several replacements, after a common loss of power. */
    @ParameterizedTest
    @ValueSource(longs = {500, 1_500, 3_000})
    void nodesThatStartTogetherElectOne(long spreadMs) {
        for (long seed = 1; seed <= RUNS; seed++) {
            String name = "nodes start within " + spreadMs + " ms, seed " + seed;
            Outcome outcome = run(NODES, NODES, spreadMs, seed, 8_000);
            assertThat(name + ", elected", outcome.elected(), is(1));
            assertThat(name + ", handovers", outcome.handovers(), lessThanOrEqualTo(1));
            assertThat(name + ", runners", outcome.runners(), is(1L));
            assertThat(name + ", first election", outcome.firstMs(), lessThanOrEqualTo(spreadMs + LIMIT_MS));
        }
    }

    /** Guards against batches that nobody runs because the other nodes do not come back. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 9, 66})
    void aNodeWhoseOthersAreGoneRunsTheBatches(int listed) {
        for (long seed = 1; seed <= RUNS; seed++) {
            Outcome outcome = run(1, listed, 0, seed, 6_000);
            assertThat("seed " + seed, outcome.runners(), is(1L));
            assertThat("seed " + seed, outcome.firstMs(), lessThanOrEqualTo(LIMIT_MS));
        }
    }
}
