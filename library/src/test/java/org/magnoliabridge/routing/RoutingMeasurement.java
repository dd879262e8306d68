package org.magnoliabridge.routing;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.magnoliabridge.calls.EndpointSource.Priority;
import org.magnoliabridge.ids.EndpointId;

/**
 * Compares queueing and engine selection policies on virtual time; run by
 * {@code bin/measure-routing [seed] [seconds]}.
 */
public final class RoutingMeasurement {
    static final int NODES = 4;
    static final int ENGINES = 8;
    static final int TEAMS = 8;
    static final int LARGE_TEAMS = 2;
    // Maximum request rate that the engines can serve when about half of the prefixes are cached.
    static final double SATURATION_PER_SECOND = 56;
    private static final int SLOTS = 5;
    private static final double LARGE_TEAM_FRACTION = 0.35;
    private static final double INTERACTIVE_FRACTION = 0.3;
    private static final int PREFIXES = 40;
    private static final int POLLS_PER_SECOND = 4;
    private static final long WARM_UP_MS = 20_000;
    private static final long INTERACTIVE_DEADLINE_MS = 20_000;
    private static final long TRAINING_DEADLINE_MS = 60_000;

    private final double perSecond;
    private final Random trafficRandom;
    private final Random pollRandom;
    private final List<SimulatedEngine> engines = new ArrayList<>();
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final Map<Long, SimulatedNode> owner = new HashMap<>();
    private final Result result = new Result();
    private long requests;
    private double nextArrivalMs;

    /** Results of one run, over the requests that arrived after the warm-up. */
    static final class Result {
        final Histogram interactiveMs = new Histogram(120_000, 3);
        final Histogram trainingMs = new Histogram(120_000, 3);
        final long[] demanded = new long[TEAMS];
        final long[] delivered = new long[TEAMS];
        double goodput;
        double prefixHitRate;
        double maxToMeanLoad;

        /** Returns the smallest fraction of its demanded tokens that a team got in complete answers by the deadline. */
        double minFractionOfDemand() {
            double smallest = 1;
            for (int i = 0; i < TEAMS; i++) {
                smallest = Math.min(smallest, (double) delivered[i] / demanded[i]);
            }
            return smallest;
        }

        /** Returns the smallest fraction that a team got of its max-min fair share of the total number of tokens. */
        double minFractionOfFairShare(double total) {
            double smallest = 1;
            for (int i = 0; i < TEAMS; i++) {
                smallest = Math.min(smallest, delivered[i] / Math.min((double) demanded[i], fairShareLevel(total)));
            }
            return smallest;
        }

        double tokens() {
            return Arrays.stream(delivered).sum();
        }

        // Returns the limit up to which each team's demand is met in a max-min fair allocation of the total.
        private double fairShareLevel(double total) {
            long[] sorted = demanded.clone();
            Arrays.sort(sorted);
            double remaining = total;
            for (int i = 0; i < TEAMS; i++) {
                double equalShare = remaining / (TEAMS - i);
                if (sorted[i] >= equalShare) {
                    return equalShare;
                }
                remaining -= sorted[i];
            }
            return (double) sorted[TEAMS - 1];
        }
    }

    private RoutingMeasurement(SimulatedNode.Policy policy, double perSecond, long seed) {
        this.perSecond = perSecond;
        // Traffic has its own generator, so that it is the same for all policies.
        trafficRandom = new Random(seed);
        pollRandom = new Random(seed + 1);
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new SimulatedEngine(new EndpointId("engine-" + i)));
        }
        for (int i = 0; i < NODES; i++) {
            nodes.add(
                    policy == SimulatedNode.Policy.CORE
                            ? new SimulatedNode.Core(engines, SLOTS, TEAMS, new Random(seed + 2 + i))
                            : new SimulatedNode.Baseline(policy, engines, SLOTS, new Random(seed + 2 + i)));
        }
    }

    static Result run(SimulatedNode.Policy policy, double perSecond, long seed, int seconds) {
        return new RoutingMeasurement(policy, perSecond, seed).run(WARM_UP_MS + seconds * 1_000L);
    }

    private Result run(long untilMs) {
        double loadRatios = 0;
        long samples = 0;
        for (long nowMs = 0; nowMs < untilMs; nowMs += SimulatedEngine.STEP_MS) {
            generateArrivals(nowMs);
            for (SimulatedEngine engine : engines) {
                for (SimulatedRequest ended : engine.step(nowMs)) {
                    owner.remove(ended.id).finished(ended, nowMs);
                    record(ended);
                }
            }
            pollEngines(nowMs);
            for (SimulatedNode node : nodes) {
                node.tick(nowMs);
            }
            double mean =
                    engines.stream().mapToInt(SimulatedEngine::load).average().orElse(0);
            if (nowMs >= WARM_UP_MS && mean > 0) {
                loadRatios +=
                        engines.stream().mapToInt(SimulatedEngine::load).max().orElse(0) / mean;
                samples++;
            }
        }
        result.goodput = result.tokens() * 1_000 / (untilMs - WARM_UP_MS);
        result.maxToMeanLoad = loadRatios / samples;
        result.prefixHitRate =
                (double) engines.stream().mapToLong(e -> e.prefixHits).sum()
                        / engines.stream().mapToLong(e -> e.prefixLookups).sum();
        return result;
    }

    private void generateArrivals(long nowMs) {
        while (nextArrivalMs <= nowMs) {
            nextArrivalMs += -Math.log(1 - trafficRandom.nextDouble()) * 1_000 / perSecond;
            SimulatedRequest request = request(nowMs);
            SimulatedNode node = nodes.get(trafficRandom.nextInt(NODES));
            owner.put(request.id, node);
            if (nowMs >= WARM_UP_MS) {
                result.demanded[request.team] += request.generated;
            }
            node.arrive(request, nowMs);
        }
    }

    private SimulatedRequest request(long nowMs) {
        double draw = trafficRandom.nextDouble();
        int team = draw < LARGE_TEAMS * LARGE_TEAM_FRACTION
                ? (int) (draw / LARGE_TEAM_FRACTION)
                : LARGE_TEAMS + trafficRandom.nextInt(TEAMS - LARGE_TEAMS);
        boolean interactive = trafficRandom.nextDouble() < INTERACTIVE_FRACTION;
        // Squaring makes low numbers more frequent, which models popular system prompts.
        int prefix = (int) (PREFIXES * Math.pow(trafficRandom.nextDouble(), 2));
        return new SimulatedRequest(
                ++requests,
                team,
                interactive ? Priority.INTERACTIVE : Priority.TRAINING,
                "prefix" + prefix,
                40 + trafficRandom.nextInt(121),
                nowMs,
                nowMs + (interactive ? INTERACTIVE_DEADLINE_MS : TRAINING_DEADLINE_MS));
    }

    private void record(SimulatedRequest request) {
        if (request.arrivedMs < WARM_UP_MS) {
            return;
        }
        if (request.firstTokenMs >= 0) {
            Histogram histogram = request.priority == Priority.INTERACTIVE ? result.interactiveMs : result.trainingMs;
            histogram.recordValue(request.firstTokenMs - request.arrivedMs);
        }
        if (request.isComplete()) {
            result.delivered[request.team] += request.generated;
        }
    }

    private void pollEngines(long nowMs) {
        if (nowMs % (1_000 / POLLS_PER_SECOND) < SimulatedEngine.STEP_MS) {
            for (SimulatedNode node : nodes) {
                node.report(engines.get(pollRandom.nextInt(ENGINES)), nowMs);
            }
        }
    }

    /** Prints one table row per load and policy. */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        int seconds = args.length > 1 ? Integer.parseInt(args[1]) : 120;
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        out.println("| load | policy | goodput tokens/s | interactive first token p50 / p99 ms"
                + " | training first token p50 / p99 ms | worst team, of fair share"
                + " | worst team, of demand | prefix hits | max / mean load |");
        out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (double load : new double[] {0.5, 1, 2}) {
            Map<SimulatedNode.Policy, Result> results = new EnumMap<>(SimulatedNode.Policy.class);
            for (SimulatedNode.Policy policy : SimulatedNode.Policy.values()) {
                results.put(policy, run(policy, load * SATURATION_PER_SECOND, seed, seconds));
            }
            double best =
                    results.values().stream().mapToDouble(Result::tokens).max().orElse(0);
            results.forEach((policy, r) -> {
                out.printf(
                        Locale.ROOT,
                        "| %.1f | %s | %.0f | %d / %d | %d / %d | %.2f | %.2f | %.2f | %.2f |%n",
                        load,
                        policy.label,
                        r.goodput,
                        r.interactiveMs.getValueAtPercentile(50),
                        r.interactiveMs.getValueAtPercentile(99),
                        r.trainingMs.getValueAtPercentile(50),
                        r.trainingMs.getValueAtPercentile(99),
                        r.minFractionOfFairShare(best),
                        r.minFractionOfDemand(),
                        r.prefixHitRate,
                        r.maxToMeanLoad);
            });
        }
    }
}
