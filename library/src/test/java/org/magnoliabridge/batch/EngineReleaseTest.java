package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.routing.Endpoint;
import org.magnoliabridge.warmup.WarmUpPacer;
import org.magnoliabridge.warmup.WarmUps;

/**
 * Replays a release: four engines restart one after the other while more than 100 items wait. Each item takes 0.3 s.
 * What the platform allows a cold engine in a second is 1.5 times the tolerated rate and 5 requests.
 */
class EngineReleaseTest {
    private static final int ENGINES = 4;
    private static final int SLOTS = 8;
    private static final int ITEMS = 300;
    private static final int TOLERATED = 8;
    private static final int ALLOWED = 17;
    private static final long STEP_MS = 50;
    private static final long ITEM_MS = 300;
    private static final long DOWN_MS = 500;
    private static final long PERIOD_MS = 1_000;
    private static final long START_MS = 1_000;

    private final Map<EndpointId, Integer> incarnations = new HashMap<>();
    private final Map<EndpointId, Long> restartedMs = new HashMap<>();
    private final Map<ItemRunId, Long> startedMs = new HashMap<>();
    private final Set<ItemRunId> ended = new HashSet<>();
    private final Map<EndpointId, List<Long>> coldSends = new HashMap<>();
    private final Set<EndpointId> down = new HashSet<>();
    private long nowMs = START_MS;
    private int completed;
    private WarmUpPacer pacer;
    private RunnerFixture fixture;

    /** Guards against a restarted engine that gets an item for each slot at once, and the next ones as soon. */
    @Test
    void restartedEnginesGetNoMoreThanTheyTolerate() {
        replay(WarmUps.ofOnlyNode(START_MS, WarmUps.limits(Batches.SERVICE, true, false)));
        assertThat(mostInASecond(), lessThanOrEqualTo(TOLERATED));
        assertThat("engines used while cold", coldSends.keySet(), hasSize(ENGINES));
        assertThat("items completed", completed, is(ITEMS));
        assertThat("time for all items", nowMs - START_MS, lessThan(10_000L));
    }

    /** Shows that the replay overruns engines whose service states no limits. */
    @Test
    void restartedEnginesAreOverrunWithoutLimits() {
        replay(WarmUpPacer.unlimited());
        assertThat(mostInASecond(), greaterThan(ALLOWED));
    }

    private void replay(WarmUpPacer newPacer) {
        pacer = newPacer;
        fixture = new RunnerFixture(pacer);
        for (int i = 0; i < ENGINES; i++) {
            incarnations.put(id(i), 1);
        }
        list();
        // The engines are warm at first, with all slots in use.
        fixture.open(Batches.head("b", ITEMS), Batches.items("a", ITEMS), true);
        for (long t = 0; completed < ITEMS && t < 30_000; t += STEP_MS) {
            long phaseMs = t % PERIOD_MS;
            int engine = (int) (t / PERIOD_MS);
            if (engine < ENGINES && phaseMs == 0) {
                stop(id(engine));
            } else if (engine < ENGINES && phaseMs == DOWN_MS) {
                restart(id(engine));
            }
            nowMs += STEP_MS;
            fixture.advance(STEP_MS);
            pacer.setMembers(nowMs, List.of(WarmUps.node(0)), true);
            handleRuns();
        }
    }

    private void stop(EndpointId engine) {
        down.add(engine);
        list();
        for (ItemRun run : open()) {
            if (run.endpoint().id().equals(engine)) {
                ended.add(run.id());
                fixture.end(run, new RunOutcome.Broken("connection closed"));
            }
        }
        noteStarts();
    }

    private void restart(EndpointId engine) {
        down.remove(engine);
        incarnations.merge(engine, 1, Integer::sum);
        restartedMs.put(engine, nowMs);
        list();
        noteStarts();
    }

    private void list() {
        List<EngineState> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            Endpoint endpoint = new Endpoint(
                    id(i),
                    Batches.SERVICE,
                    new DataCentre("trent"),
                    "10.0.0.1:" + (8080 + i),
                    new Incarnation(incarnations.get(id(i))));
            if (!down.contains(id(i))) {
                engines.add(new EngineState(endpoint, SLOTS, Map.of(Batches.MODEL, new WeightVersion(1)), Set.of()));
            }
        }
        pacer.replaceEndpoints(
                nowMs,
                engines.stream()
                        .map(e -> WarmUps.listed(
                                e.endpoint().id().value(),
                                Batches.SERVICE,
                                incarnations.get(e.endpoint().id()),
                                0))
                        .toList());
        fixture.engines(engines.toArray(EngineState[]::new));
    }

    private void handleRuns() {
        noteStarts();
        for (ItemRun run : open()) {
            if (nowMs - startedMs.get(run.id()) >= ITEM_MS) {
                ended.add(run.id());
                completed++;
                fixture.end(run, new RunOutcome.Completed(), Batches.event(1, "e1", 1));
            }
        }
        noteStarts();
    }

    private void noteStarts() {
        for (ItemRun run : fixture.runs()) {
            EndpointId engine = run.endpoint().id();
            if (startedMs.putIfAbsent(run.id(), nowMs) == null
                    && nowMs - restartedMs.getOrDefault(engine, Long.MIN_VALUE / 2) < WarmUps.DURATION_MS) {
                coldSends.computeIfAbsent(engine, e -> new ArrayList<>()).add(nowMs);
            }
        }
    }

    private List<ItemRun> open() {
        return fixture.runs().stream().filter(r -> !ended.contains(r.id())).toList();
    }

    private int mostInASecond() {
        int most = 0;
        for (List<Long> times : coldSends.values()) {
            for (long from : times) {
                most = Math.max(most, (int) times.stream()
                        .filter(t -> t >= from && t <= from + 1_000)
                        .count());
            }
        }
        return most;
    }

    private static EndpointId id(int engine) {
        return new EndpointId("e" + engine);
    }
}
