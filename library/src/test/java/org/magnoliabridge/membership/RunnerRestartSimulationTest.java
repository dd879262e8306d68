package org.magnoliabridge.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliabridge.ids.NodeId;

/** Elections while the nodes are restarted one after the other, on a virtual clock. */
class RunnerRestartSimulationTest {
    private static final int NODES = 66;
    private static final int LARGE_NODES = 8;
    // All large nodes, and as many others.
    private static final int RESTARTED = 16;
    private static final int LARGE = 1_500;
    private static final int SMALL = 360;
    private static final long BEGIN_MS = 6_000;
    private static final long GRACE_MS = 8_000;
    private static final int RUNS = Integer.getInteger("restart.seeds", 1);
    // Reading the open batches, and waiting until texts may be resumed.
    private static final long RESUME_MS = 1_800;
    // A step is lost if its items wait for 5 s.
    private static final long MAX_WAIT_MS = 4_000;

    /** Guards against items that wait at no engine, because runners change in a row or there is none for long. */
    @ParameterizedTest
    @ValueSource(longs = {200, 1_000})
    void itemsAreResumedDuringPlannedRestarts(long periodMs) {
        long longestMs = 0;
        for (long seed = 1; seed <= RUNS; seed++) {
            longestMs = Math.max(longestMs, longestWaitMs(periodMs, seed));
        }
        System.out.printf("a node restarts every %d ms: items wait for at most %d ms%n", periodMs, longestMs);
        assertThat(longestMs, lessThanOrEqualTo(MAX_WAIT_MS));
    }

    private static long longestWaitMs(long periodMs, long seed) {
        Random random = new Random(seed);
        ElectionCluster cluster = new ElectionCluster(NODES, seed, i -> i < LARGE_NODES ? LARGE : SMALL);
        for (int i = 0; i < NODES; i++) {
            cluster.start(i, 1);
        }
        long[] stopsMs = new long[RESTARTED];
        long[] startsMs = new long[RESTARTED];
        for (int i = 0; i < RESTARTED; i++) {
            stopsMs[i] = BEGIN_MS + i * periodMs + GRACE_MS;
            startsMs[i] = stopsMs[i] + 500 + random.nextLong(2_000);
        }
        long endMs = startsMs[RESTARTED - 1] + 6_000;
        Optional<NodeId> runner = Optional.empty();
        long waitingSinceMs = BEGIN_MS;
        long runningSinceMs = 0;
        long longestMs = 0;
        while (cluster.elapsedMs() < endMs) {
            long beforeMs = cluster.elapsedMs();
            cluster.step();
            long nowMs = cluster.elapsedMs();
            for (int i = 0; i < RESTARTED; i++) {
                if (isDue(stopsMs[i] - GRACE_MS, beforeMs, nowMs)) {
                    cluster.leave(i);
                } else if (isDue(stopsMs[i], beforeMs, nowMs)) {
                    cluster.stop(i);
                } else if (isDue(startsMs[i], beforeMs, nowMs)) {
                    cluster.start(i, 2);
                }
            }
            List<NodeId> runners = cluster.runners();
            Optional<NodeId> current = runners.size() == 1 ? Optional.of(runners.getFirst()) : Optional.empty();
            if (!current.equals(runner) || current.isEmpty()) {
                runningSinceMs = nowMs;
            }
            runner = current;
            boolean resumed = current.isPresent() && nowMs - runningSinceMs >= RESUME_MS;
            if (resumed || nowMs < BEGIN_MS) {
                waitingSinceMs = nowMs;
            }
            longestMs = Math.max(longestMs, nowMs - waitingSinceMs);
        }
        return longestMs;
    }

    private static boolean isDue(long atMs, long beforeMs, long nowMs) {
        return atMs > beforeMs && atMs <= nowMs;
    }
}
