package org.magnoliabridge.orders;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.lease.LeaseView;

/**
 * Replays several trainers that share engines which hold the models of all of them. Each trainer publishes a version
 * every few seconds, and its next step runs on that version or the one before it.
 */
class SharedEnginesTest {
    private static final ServiceId SERVICE = new ServiceId("models");
    private static final int ENGINES = 31;
    private static final long STEP_MS = 4_200;
    private static final long LOAD_MS = 900;
    private static final long REPORT_MS = 200;
    private static final long RUN_MS = 60_000;
    // The first versions find all engines at the version before.
    private static final long WARM_UP_MS = 12_000;
    private static final LeaseView LEASE = new LeaseView(true, new FencingToken(1), 0, Long.MAX_VALUE);

    private final WeightsCore core = new WeightsCore(WeightsSettings.withoutPermits(), 0);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
    private final Map<EndpointId, Map<ModelId, Long>> held = new TreeMap<>();
    private final Map<ModelId, Long> published = new HashMap<>();
    private final Map<ModelId, Integer> fewestUsable = new HashMap<>();
    private final List<WeightsEffect.Load> loads = new ArrayList<>();
    private long sequence;
    private long nowMs;

    private record Event(long atMs, long sequence, Runnable action) {}

    /** Guards against steps that wait for weights: loads of all models at all engines take longer than the versions. */
    @Test
    void everyModelHasEnginesForItsStepAllTheTime() {
        run(4, List.of(1.0, 1.0, 1.0, 1.0));
        for (ModelId model : published.keySet()) {
            assertThat("usable engines of " + model, fewestUsable.get(model), is(greaterThanOrEqualTo(6)));
        }
    }

    /** Guards against a model that is starved because another one has a lower version number or more work. */
    @Test
    void smallTrainerKeepsEnginesBesideALargeOne() {
        run(4, List.of(20.0, 1.0, 1.0, 1.0));
        assertThat(fewestUsable.get(model(0)), is(greaterThanOrEqualTo(5)));
        for (int i = 1; i < 4; i++) {
            assertThat("usable engines of " + model(i), fewestUsable.get(model(i)), is(greaterThanOrEqualTo(2)));
        }
    }

    /** Guards against more loads than the engines can make beside their work. */
    @Test
    void loadsLeaveMostOfTheTimeOfTheEnginesForWork() {
        run(4, List.of(1.0, 1.0, 1.0, 1.0));
        double loadingMs = loads.size() * (double) LOAD_MS;
        assertThat(loadingMs / (ENGINES * (double) RUN_MS), is(lessThan(0.25)));
    }

    /** Guards against a change for services with one model: all their engines load its versions. */
    @Test
    void onlyModelOfAServiceIsLoadedByAllEngines() {
        run(1, List.of(1.0));
        assertThat(fewestUsable.get(model(0)), is(greaterThanOrEqualTo(ENGINES / 2)));
        assertThat(loads.stream().map(WeightsEffect.Load::engine).distinct().count(), is((long) ENGINES));
    }

    private void run(int models, List<Double> demands) {
        for (int e = 0; e < ENGINES; e++) {
            Map<ModelId, Long> versions = new HashMap<>();
            for (int m = 0; m < models; m++) {
                versions.put(model(m), 1L);
            }
            held.put(new EndpointId("engine-" + e), versions);
        }
        for (int m = 0; m < models; m++) {
            published.put(model(m), 1L);
            // Trainers with different version numbers must not be compared by them.
            long first = 1 + 3L * m;
            publishPeriodically(model(m), first, STEP_MS + m * 1_000L);
        }
        at(0, this::report);
        at(0, () -> tick(demands));
        while (!events.isEmpty() && events.peek().atMs() <= RUN_MS) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.action().run();
        }
    }

    private void publishPeriodically(ModelId model, long first, long atMs) {
        held.values().forEach(versions -> versions.put(model, first));
        published.put(model, first);
        at(atMs, () -> publish(model));
    }

    private void publish(ModelId model) {
        long version = published.merge(model, 1L, Long::sum);
        pass(new WeightsInput.Newest(model, new WeightVersion(version)));
        pass(new WeightsInput.Lag(model, 1));
        at(nowMs + STEP_MS, () -> publish(model));
        // A second later the step's items must find engines.
        at(nowMs + 1_000, () -> countUsable(model, version));
    }

    private void countUsable(ModelId model, long version) {
        int usable = (int)
                held.values().stream().filter(v -> v.get(model) >= version - 1).count();
        if (nowMs > WARM_UP_MS) {
            fewestUsable.merge(model, usable, Math::min);
        }
    }

    private void report() {
        List<WeightsInput.Engine> engines = new ArrayList<>();
        held.forEach((id, versions) ->
                versions.keySet().forEach(m -> engines.add(new WeightsInput.Engine(id, SERVICE, m, true))));
        pass(new WeightsInput.Engines(engines));
        held.forEach((id, versions) ->
                versions.forEach((m, version) -> pass(new WeightsInput.Reported(id, m, new WeightVersion(version)))));
        at(nowMs + REPORT_MS, this::report);
    }

    private void tick(List<Double> demands) {
        for (int m = 0; m < demands.size(); m++) {
            pass(new WeightsInput.Demand(model(m), 10_000 * demands.get(m)));
        }
        pass(new WeightsInput.Tick());
        at(nowMs + 100, () -> tick(demands));
    }

    private void pass(WeightsInput input) {
        for (WeightsEffect effect : core.on(nowMs, LEASE, input)) {
            if (effect instanceof WeightsEffect.Load load) {
                loads.add(load);
                at(
                        nowMs + LOAD_MS,
                        () -> held.get(load.engine())
                                .merge(load.model(), load.version().value(), Math::max));
            }
        }
    }

    private static ModelId model(int number) {
        return new ModelId("model-" + number);
    }

    private void at(long atMs, Runnable action) {
        events.add(new Event(atMs, sequence++, action));
    }
}
