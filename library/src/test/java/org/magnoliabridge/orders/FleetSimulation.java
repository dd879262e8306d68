package org.magnoliabridge.orders;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.lease.LeaseView;

/** Simulates engines and a rate-limited weight store on a virtual clock; records violated limits of the rollout. */
final class FleetSimulation {
    static final long LOAD_MS = 2_000;
    static final long REPORT_MS = 250;
    private static final long LATENCY_MS = 5;
    private static final long TICK_MS = 100;

    final List<String> violations = new ArrayList<>();
    final List<WeightsEffect> effects = new ArrayList<>();
    final Map<EndpointId, Integer> ordersByEngine = new HashMap<>();
    final Map<EndpointId, Long> loadedMs = new HashMap<>();
    final Set<EndpointId> failingEngines = new HashSet<>();
    WeightsCore core;
    LeaseView lease = new LeaseView(true, new FencingToken(1), 0, Long.MAX_VALUE);
    long nowMs;
    long refusedPermits;
    private final double storePerSecond;
    private double storeTokens;
    private final double storeBurst;
    private long storeRefilledMs;
    private final Map<EndpointId, WeightsInput.Engine> engines = new TreeMap<>();
    private final Map<EndpointId, Long> versions = new TreeMap<>();
    private final Set<EndpointId> loading = new HashSet<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
    private long sequence;

    FleetSimulation(double storePerSecond, int storeBurst, WeightsSettings settings) {
        this.storePerSecond = storePerSecond;
        this.storeBurst = storeBurst;
        this.storeTokens = storeBurst;
        this.core = new WeightsCore(settings, 0);
    }

    void add(String service, int count, boolean sampler) {
        for (int i = 0; i < count; i++) {
            EndpointId id = new EndpointId(service + (sampler ? "-s" : "-i") + i);
            engines.put(id, new WeightsInput.Engine(id, new ServiceId(service), new ModelId(service), sampler));
            versions.put(id, 1L);
        }
    }

    void publish(String service, long version) {
        pass(new WeightsInput.Newest(new ModelId(service), new WeightVersion(version)));
    }

    void setAllowedLag(String service, int versions) {
        pass(new WeightsInput.Lag(new ModelId(service), versions));
    }

    void run(long untilMs) {
        at(nowMs, this::tick);
        at(nowMs, this::report);
        while (!events.isEmpty() && events.peek().atMs() <= untilMs) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.action().run();
        }
        events.clear();
    }

    long countAt(long version) {
        return versions.values().stream().filter(v -> v == version).count();
    }

    private void tick() {
        pass(new WeightsInput.Tick());
        at(nowMs + TICK_MS, this::tick);
    }

    private void report() {
        pass(new WeightsInput.Engines(List.copyOf(engines.values())));
        versions.forEach((id, version) ->
                pass(new WeightsInput.Reported(id, engines.get(id).model(), new WeightVersion(version))));
        at(nowMs + REPORT_MS, this::report);
    }

    private void pass(WeightsInput input) {
        for (WeightsEffect effect : core.on(nowMs, lease, input)) {
            effects.add(effect);
            switch (effect) {
                case WeightsEffect.RequestPermit request -> at(nowMs + LATENCY_MS, () -> answerPermit(request));
                case WeightsEffect.Load load -> at(nowMs + LATENCY_MS, () -> load(load));
                default -> {}
            }
        }
    }

    private void answerPermit(WeightsEffect.RequestPermit request) {
        storeTokens = Math.min(storeBurst, storeTokens + (nowMs - storeRefilledMs) * storePerSecond / 1_000);
        storeRefilledMs = nowMs;
        boolean granted = storeTokens >= 1;
        storeTokens -= granted ? 1 : 0;
        refusedPermits += granted ? 0 : 1;
        WeightsInput.PermitOutcome outcome =
                granted ? WeightsInput.PermitOutcome.GRANTED : WeightsInput.PermitOutcome.RATE_LIMITED;
        at(
                nowMs + LATENCY_MS,
                () -> pass(
                        new WeightsInput.Permit(request.engine(), request.model(), request.version(), outcome, 1_000)));
    }

    private void load(WeightsEffect.Load load) {
        EndpointId id = load.engine();
        ordersByEngine.merge(id, 1, Integer::sum);
        loading.add(id);
        checkConcurrentSwaps(engines.get(id).service());
        checkSamplersFirst(engines.get(id));
        at(
                nowMs + LATENCY_MS,
                () -> pass(new WeightsInput.Sent(load.orderId(), id, load.model(), OrderOutcome.ACCEPTED)));
        at(nowMs + LOAD_MS, () -> {
            loading.remove(id);
            if (!failingEngines.contains(id)) {
                versions.put(id, load.version().value());
                loadedMs.put(id, nowMs);
            }
        });
    }

    private void checkConcurrentSwaps(ServiceId service) {
        long all = engines.values().stream()
                .filter(e -> e.service().equals(service))
                .count();
        long swapping = loading.stream()
                .filter(id -> engines.get(id).service().equals(service))
                .count();
        if (swapping > Math.max(1, all / 4)) {
            violations.add(
                    "at " + nowMs + " ms " + swapping + " of " + all + " engines of " + service + " swap at once");
        }
    }

    private void checkSamplersFirst(WeightsInput.Engine engine) {
        boolean waiting = !engine.sampler()
                && engines.values().stream()
                        .anyMatch(e -> e.sampler()
                                && e.service().equals(engine.service())
                                && !ordersByEngine.containsKey(e.id()));
        if (waiting) {
            violations.add("at " + nowMs + " ms " + engine.id() + " was ordered before a sampler");
        }
    }

    private void at(long atMs, Runnable action) {
        events.add(new Event(atMs, sequence++, action));
    }

    private record Event(long atMs, long sequence, Runnable action) {}
}
