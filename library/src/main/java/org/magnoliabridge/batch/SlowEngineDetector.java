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
 * Detects engines that generate much slower than usual, and compares the usual speeds of engines.
 *
 * <p>Load pattern: an engine becomes several times slower for seconds, or stops sending events, while its status stays
 * good. Its items would delay the completion of their groups. Engines run a full batch at nearly the rate of an empty
 * one, so the rate of events per run distinguishes a slow engine from a busy one. Engines of one service may be of
 * different kinds, so an engine is compared with its own past, and with the others only until it has one. Where engines
 * are often slow for a moment and recover by themselves, a longer time is observed before one counts as slow.
 */
final class SlowEngineDetector {
    // An engine below this fraction of its usual rate is slow.
    private static final double SLOW_FRACTION = 0.55;
    // An engine without a past is slow below this fraction of the median rate; kinds of engines differ by less.
    private static final double SLOWEST_KIND_FRACTION = 0.35;
    // Minimum time summed over the runs of an engine; over a shorter time, single events distort the rate.
    private static final double MIN_OBSERVED_MS = 400;
    // Minimum time that the observations cover, however many runs an engine has.
    private static final double MIN_SPAN_MS = 300;
    // Observations lose half of their weight in this time, or in the longer one where slowdowns are mostly brief.
    private static final double HALF_LIFE_MS = 500;
    private static final double LONG_HALF_LIFE_MS = 1_200;
    // A slow engine gets no new items for this long; afterwards a new observation decides.
    private static final long AVOID_MS = 3_000;
    // A usual rate follows faster rates quickly and slower ones slowly, since a slowdown is not usual.
    private static final double FASTER_TIME_CONSTANT_MS = 1_000;
    private static final double SLOWER_TIME_CONSTANT_MS = 15_000;
    // Slowdowns count as mostly brief if this part of the last ones had ended when the engine was tried again.
    private static final double BRIEF_PART = 0.6;
    private static final double OUTCOME_SMOOTHING_FACTOR = 0.2;
    // Speeds that differ by less than the square root of this factor count as equal.
    private static final double CLASS_FACTOR = 1.5;

    private final Map<EndpointId, Throughput> throughputs = new HashMap<>();
    private final Map<EndpointId, Double> usualRates = new HashMap<>();
    private final Map<EndpointId, Long> slowUntilMs = new HashMap<>();
    // Engines that were slow and have not been judged since.
    private final Set<EndpointId> retried = new TreeSet<>();
    private double briefPart;
    private double medianRate;
    private long lastMs;

    private static final class Throughput {
        double events;
        double runMs;
        double spanMs;
        boolean observedNow;

        double rate() {
            return events / runMs;
        }

        boolean isSufficient() {
            return runMs >= MIN_OBSERVED_MS && spanMs >= MIN_SPAN_MS;
        }
    }

    /** Records how many events a run of an engine generated in a period. */
    void observe(EndpointId engine, long events, long elapsedMs) {
        Throughput observed = throughputs.computeIfAbsent(engine, id -> new Throughput());
        observed.events += events;
        observed.runMs += elapsedMs;
        observed.observedNow = true;
    }

    /** Determines which engines are slow, after the observations of a period were recorded. */
    void evaluate(long nowMs) {
        double elapsedMs = nowMs - lastMs;
        List<Double> rates = new ArrayList<>();
        for (Throughput observed : throughputs.values()) {
            observed.spanMs += observed.observedNow ? elapsedMs : 0;
            observed.observedNow = false;
            if (observed.isSufficient()) {
                rates.add(observed.rate());
            }
        }
        // A single active engine cannot be compared with others.
        if (rates.size() > 1) {
            rates.sort(null);
            medianRate = rates.get(rates.size() / 2);
            throughputs.forEach((id, observed) -> {
                if (observed.isSufficient()) {
                    judge(nowMs, elapsedMs, id, observed);
                }
            });
        }
        slowUntilMs.values().removeIf(until -> until <= nowMs);
        decay(nowMs);
    }

    private void judge(long nowMs, double elapsedMs, EndpointId engine, Throughput observed) {
        double rate = observed.rate();
        Double usual = usualRates.get(engine);
        boolean slow = usual == null ? rate < SLOWEST_KIND_FRACTION * medianRate : rate < SLOW_FRACTION * usual;
        if (retried.contains(engine) && !slowUntilMs.containsKey(engine)) {
            retried.remove(engine);
            briefPart += OUTCOME_SMOOTHING_FACTOR * ((slow ? 0 : 1) - briefPart);
        }
        if (slow) {
            slowUntilMs.put(engine, nowMs + AVOID_MS);
            retried.add(engine);
            observed.events = 0;
            observed.runMs = 0;
            observed.spanMs = 0;
        } else if (usual == null) {
            usualRates.put(engine, rate);
        } else {
            double timeConstantMs = rate > usual ? FASTER_TIME_CONSTANT_MS : SLOWER_TIME_CONSTANT_MS;
            usualRates.put(engine, usual + (rate - usual) * (1 - Math.exp(-elapsedMs / timeConstantMs)));
        }
    }

    /** Marks an engine as slow because a run has stalled there. */
    void markStalled(long nowMs, EndpointId engine) {
        slowUntilMs.put(engine, nowMs + AVOID_MS);
    }

    /** Forgets the engines that no longer exist. */
    void retain(Set<EndpointId> engines) {
        usualRates.keySet().retainAll(engines);
        retried.retainAll(engines);
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

    /**
     * Returns how much faster than the median an engine usually is, as a factor; 1 for engines of nearly the same
     * speed, so that these do not differ, and for engines that are not known.
     */
    double relativeSpeed(EndpointId engine) {
        Double usual = usualRates.get(engine);
        if (usual == null || medianRate <= 0 || usual <= 0) {
            return 1;
        }
        return Math.pow(CLASS_FACTOR, Math.rint(Math.log(usual / medianRate) / Math.log(CLASS_FACTOR)));
    }

    private void decay(long nowMs) {
        double halfLifeMs = briefPart > BRIEF_PART ? LONG_HALF_LIFE_MS : HALF_LIFE_MS;
        double remainingWeight = Math.pow(0.5, (nowMs - lastMs) / halfLifeMs);
        lastMs = nowMs;
        throughputs.values().forEach(o -> {
            o.events *= remainingWeight;
            o.runMs *= remainingWeight;
            o.spanMs *= remainingWeight;
        });
        throughputs.values().removeIf(o -> o.runMs < 1);
    }
}
