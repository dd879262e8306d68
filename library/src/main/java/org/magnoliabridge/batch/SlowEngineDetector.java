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
 * Finds engines that generate much slower than the others.
 *
 * <p>Load pattern: an engine turns several times slower for seconds, or goes silent, while its status stays good. The
 * items on it would decide when their groups are complete. Engines run a full batch at nearly the pace of an empty one,
 * so the number of events per run and time tells a slow engine from a busy one.
 */
final class SlowEngineDetector {
    // An engine below this part of the median pace is slow; engines of one service differ by up to a third.
    private static final double SLOW_FRACTION = 0.55;
    // Below this time over all runs of an engine, single events decide too much.
    private static final double MIN_OBSERVED_MS = 400;
    // Older observations lose half of their weight in this time.
    private static final double HALF_LIFE_MS = 500;
    // An engine found slow gets no new items for this long; then one observation decides again.
    private static final long AVOIDED_MS = 3_000;

    private final Map<EndpointId, Throughput> engines = new HashMap<>();
    private final Map<EndpointId, Long> slowUntilMs = new HashMap<>();
    private double medianRate;
    private long lastMs;

    private static final class Throughput {
        double events;
        double runMs;
    }

    /** Takes that a run of an engine made some events in a time. */
    void observe(EndpointId engine, long events, long elapsedMs) {
        Throughput observed = engines.computeIfAbsent(engine, id -> new Throughput());
        observed.events += events;
        observed.runMs += elapsedMs;
    }

    /** Decides which engines are slow, after the observations of a period were taken. */
    void evaluate(long nowMs) {
        List<Double> paces = new ArrayList<>();
        engines.values().stream().filter(o -> o.runMs >= MIN_OBSERVED_MS).forEach(o -> paces.add(o.events / o.runMs));
        // With one engine at work there is nothing to compare with but the pace of before.
        if (paces.size() > 1) {
            paces.sort(null);
            medianRate = paces.get(paces.size() / 2);
        }
        engines.forEach((id, o) -> {
            if (o.runMs >= MIN_OBSERVED_MS && o.events / o.runMs < SLOW_FRACTION * medianRate) {
                slowUntilMs.put(id, nowMs + AVOIDED_MS);
                o.events = 0;
                o.runMs = 0;
            }
        });
        slowUntilMs.values().removeIf(until -> until <= nowMs);
        decay(nowMs);
    }

    /** Takes that a run got nothing from an engine for long. */
    void markStalled(long nowMs, EndpointId engine) {
        slowUntilMs.put(engine, nowMs + AVOIDED_MS);
    }

    /** Returns the engines that get no new items while there are others. */
    Set<EndpointId> slowEngines() {
        return new TreeSet<>(slowUntilMs.keySet());
    }

    /** Returns the time that most engines take for an event of a text, in milliseconds, once it is known. */
    OptionalDouble medianEventMs() {
        return medianRate > 0 ? OptionalDouble.of(1 / medianRate) : OptionalDouble.empty();
    }

    boolean isSlow(EndpointId engine) {
        return slowUntilMs.containsKey(engine);
    }

    private void decay(long nowMs) {
        double kept = Math.pow(0.5, (nowMs - lastMs) / HALF_LIFE_MS);
        lastMs = nowMs;
        engines.values().forEach(o -> {
            o.events *= kept;
            o.runMs *= kept;
        });
        engines.values().removeIf(o -> o.runMs < 1);
    }
}
