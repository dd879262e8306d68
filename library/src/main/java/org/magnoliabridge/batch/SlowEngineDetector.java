package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeSet;
import org.magnoliabridge.ids.EndpointId;

/**
 * Detects engines that generate much slower than the others.
 *
 * <p>Load pattern: an engine becomes several times slower for seconds, or stops sending events, while its status stays
 * good. Its items would delay the completion of their groups. Engines run a full batch at nearly the rate of an empty
 * one, so the rate of events per run distinguishes a slow engine from a busy one.
 */
final class SlowEngineDetector {
    // An engine below this fraction of the median rate is slow; healthy engines of one service differ by up to a third.
    private static final double SLOW_FRACTION = 0.55;
    // Minimum time summed over the runs of an engine; over a shorter time, single events distort the rate.
    private static final double MIN_OBSERVED_MS = 400;
    // Observations lose half of their weight in this time.
    private static final double HALF_LIFE_MS = 500;
    // A slow engine gets no new items for this long; afterwards a new observation decides.
    private static final long AVOID_MS = 3_000;

    private final Map<EndpointId, Throughput> throughputs = new HashMap<>();
    private final Map<EndpointId, Long> slowUntilMs = new HashMap<>();
    private double medianRate;
    private long lastMs;

    private static final class Throughput {
        double events;
        double runMs;
    }

    /** Records how many events a run of an engine generated in a period. */
    void observe(EndpointId engine, long events, long elapsedMs) {
        Throughput observed = throughputs.computeIfAbsent(engine, id -> new Throughput());
        observed.events += events;
        observed.runMs += elapsedMs;
    }

    /** Determines which engines are slow, after the observations of a period were recorded. */
    void evaluate(long nowMs) {
        List<Double> rates = new ArrayList<>();
        throughputs.values().stream()
                .filter(o -> o.runMs >= MIN_OBSERVED_MS)
                .forEach(o -> rates.add(o.events / o.runMs));
        // A single active engine can only be compared with the previous median rate.
        if (rates.size() > 1) {
            rates.sort(null);
            medianRate = rates.get(rates.size() / 2);
        }
        throughputs.forEach((id, o) -> {
            if (o.runMs >= MIN_OBSERVED_MS && o.events / o.runMs < SLOW_FRACTION * medianRate) {
                slowUntilMs.put(id, nowMs + AVOID_MS);
                o.events = 0;
                o.runMs = 0;
            }
        });
        slowUntilMs.values().removeIf(until -> until <= nowMs);
        decay(nowMs);
    }

    /** Marks an engine as slow because a run has stalled there. */
    void markStalled(long nowMs, EndpointId engine) {
        slowUntilMs.put(engine, nowMs + AVOID_MS);
    }

    /** Returns the engines that get no new items while other engines are available. */
    Set<EndpointId> slowEngines() {
        return new TreeSet<>(slowUntilMs.keySet());
    }

    /** Returns the median time per event in milliseconds, or empty while it is unknown. */
    OptionalDouble medianEventMs() {
        return medianRate > 0 ? OptionalDouble.of(1 / medianRate) : OptionalDouble.empty();
    }

    boolean isSlow(EndpointId engine) {
        return slowUntilMs.containsKey(engine);
    }

    private void decay(long nowMs) {
        double remainingWeight = Math.pow(0.5, (nowMs - lastMs) / HALF_LIFE_MS);
        lastMs = nowMs;
        throughputs.values().forEach(o -> {
            o.events *= remainingWeight;
            o.runMs *= remainingWeight;
        });
        throughputs.values().removeIf(o -> o.runMs < 1);
    }
}
