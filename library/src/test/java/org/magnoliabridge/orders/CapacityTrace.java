package org.magnoliabridge.orders;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.magnoliabridge.external.EndpointOrder.Kind;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.ServiceId;

/** A simulated day of demand and reclaim events, identical for each policy that is compared. */
final class CapacityTrace {
    static final long STEP_MS = 10_000;
    static final int STEPS = 8_640;
    static final double UNITS_PER_ENDPOINT = 10;
    static final double STANDARD_PRICE = 1.0;
    static final double RECLAIMABLE_PRICE = 0.35;
    private static final long STARTUP_MS = 120_000;
    private static final long DRAIN_MS = 60_000;
    private static final double MS_PER_HOUR = 3_600_000;

    final List<DataCentre> dcs = List.of(new DataCentre("trent"), new DataCentre("soar"), new DataCentre("avon"));
    final double[] demand = new double[STEPS];
    /** By step and data centre: time until which it has no reclaimable endpoints, or 0 if it never had an outage. */
    private final long[][] unavailableUntilMs = new long[STEPS][];

    private CapacityTrace(Random random) {
        long[] until = new long[dcs.size()];
        for (int i = 0; i < STEPS; i++) {
            if (random.nextInt(720) == 0) { // every two hours on average
                until[random.nextInt(until.length)] = i * STEP_MS + 1_200_000;
            }
            unavailableUntilMs[i] = until.clone();
        }
    }

    /** Demand of interactive users: a daily wave, noise, and a ten-minute burst of 40% about every hour. */
    static CapacityTrace interactive(long seed) {
        Random random = new Random(seed);
        CapacityTrace trace = new CapacityTrace(random);
        double noise = 0;
        int burstEnd = 0;
        for (int i = 0; i < STEPS; i++) {
            noise = 0.9 * noise + random.nextGaussian() * 0.02;
            burstEnd = random.nextInt(360) == 0 ? i + 60 : burstEnd;
            double wave = 200 * (1 + 0.6 * Math.sin(2 * Math.PI * i / STEPS));
            trace.demand[i] = Math.max(0, wave * (1 + noise) * (i < burstEnd ? 1.4 : 1));
        }
        return trace;
    }

    /** Demand of trainers: three runs, each generating for 8 to 13 minutes and then training for 2 to 4 minutes. */
    static CapacityTrace training(long seed) {
        Random random = new Random(seed);
        CapacityTrace trace = new CapacityTrace(random);
        for (int run = 0; run < 3; run++) {
            int i = random.nextInt(50);
            while (i < STEPS) {
                int generating = 48 + random.nextInt(30);
                for (int j = i; j < Math.min(STEPS, i + generating); j++) {
                    trace.demand[j] += 100;
                }
                i += generating + 12 + random.nextInt(12);
            }
        }
        return trace;
    }

    double peak() {
        return Arrays.stream(demand).max().orElseThrow();
    }

    CapacityPlan plan(boolean interactive) {
        return new CapacityPlan(
                new ServiceId("coachgen"),
                interactive,
                dcs,
                UNITS_PER_ENDPOINT,
                interactive ? 1.1 : 1.0,
                STARTUP_MS,
                STANDARD_PRICE,
                RECLAIMABLE_PRICE,
                interactive ? 2 : 0,
                200);
    }

    /** Replays the trace against a policy. */
    Result run(Policy policy) {
        Result result = new Result();
        List<SimulatedEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < STEPS; i++) {
            long nowMs = i * STEP_MS;
            long[] until = unavailableUntilMs[i];
            for (SimulatedEndpoint endpoint : List.copyOf(endpoints)) {
                if (endpoint.kind == Kind.RECLAIMABLE && until[dcs.indexOf(endpoint.dc)] > nowMs) {
                    endpoints.remove(endpoint);
                    policy.reclaimed(nowMs, endpoint);
                }
            }
            Availability availability = (dc, kind) -> kind == Kind.STANDARD || until[dcs.indexOf(dc)] <= nowMs;
            policy.step(nowMs, demand[i], endpoints, availability);
            endpoints.removeIf(e -> e.drainingSinceMs >= 0 && nowMs - e.drainingSinceMs >= DRAIN_MS);
            result.add(nowMs, demand[i], endpoints);
        }
        return result;
    }

    /** An endpoint that costs from its order until its stop, and carries work from its start until its drain. */
    static final class SimulatedEndpoint {
        final String id;
        final DataCentre dc;
        final Kind kind;
        final long orderedMs;
        long drainingSinceMs = -1;

        SimulatedEndpoint(String id, DataCentre dc, Kind kind, long orderedMs) {
            this.id = id;
            this.dc = dc;
            this.kind = kind;
            this.orderedMs = orderedMs;
        }
    }

    /** Whether the platform has room for an endpoint. */
    interface Availability {
        boolean isAvailable(DataCentre dc, Kind kind);
    }

    /** Starts and drains endpoints. */
    interface Policy {
        void step(long nowMs, double demand, List<SimulatedEndpoint> endpoints, Availability availability);

        default void reclaimed(long nowMs, SimulatedEndpoint endpoint) {}
    }

    /** What a policy spent and how much of the demand it carried. */
    static final class Result {
        double spend;
        int shortSteps;
        private double served;
        private double demanded;

        private void add(long nowMs, double demand, List<SimulatedEndpoint> endpoints) {
            double capacity = 0;
            for (SimulatedEndpoint e : endpoints) {
                spend += (e.kind == Kind.STANDARD ? STANDARD_PRICE : RECLAIMABLE_PRICE) * STEP_MS / MS_PER_HOUR;
                // Endpoints ordered in the first step count as already running.
                boolean started = e.orderedMs == 0 || nowMs - e.orderedMs >= STARTUP_MS;
                capacity += started && e.drainingSinceMs < 0 ? UNITS_PER_ENDPOINT : 0;
            }
            demanded += demand;
            served += Math.min(demand, capacity);
            shortSteps += capacity < demand ? 1 : 0;
        }

        double servedShare() {
            return served / demanded;
        }

        @Override
        public String toString() {
            return "spend %7.1f  served %7.3f%%  short of capacity %5.1f min"
                    .formatted(spend, servedShare() * 100, shortSteps * STEP_MS / 60_000.0);
        }
    }
}
