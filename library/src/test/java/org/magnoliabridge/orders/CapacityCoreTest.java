package org.magnoliabridge.orders;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.external.EndpointOrder;
import org.magnoliabridge.external.EndpointOrder.Kind;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.sim.BuildFolder;

class CapacityCoreTest {
    private static final long[] SEEDS = {11, 12};
    private static final ServiceId SERVICE = new ServiceId("coachgen");

    /**
     * Guards the capacity guarantee of interactive services, and checks that the core spends less than fixed and
     * threshold sizing with standard endpoints and carries more demand than threshold sizing with reclaimable ones.
     */
    @Test
    void noSimplerPolicyIsBothCheaperAndBetter() throws IOException {
        StringBuilder table = new StringBuilder();
        for (long seed : SEEDS) {
            for (boolean interactive : new boolean[] {true, false}) {
                CapacityTrace trace = interactive ? CapacityTrace.interactive(seed) : CapacityTrace.training(seed);
                CorePolicy policy = new CorePolicy(trace.plan(interactive));
                CapacityTrace.Result core = trace.run(policy);
                CapacityTrace.Result fixed = trace.run(fixed(trace));
                CapacityTrace.Result threshold = trace.run(new ThresholdPolicy(trace, Kind.STANDARD));
                CapacityTrace.Result cheap = trace.run(new ThresholdPolicy(trace, Kind.RECLAIMABLE));
                String name = (interactive ? "interactive" : "training") + ", seed " + seed;
                table.append(
                        "%s%n  capacity core          %s%n  fixed for the peak     %s%n".formatted(name, core, fixed));
                table.append("  threshold, standard    %s%n  threshold, reclaimable %s%n".formatted(threshold, cheap));
                assertThat(name, policy.violations, is(empty()));
                assertThat(name, core.spend, lessThan(fixed.spend));
                assertThat(name, core.spend, lessThan(threshold.spend));
                assertThat(name, core.servedShare(), greaterThan(cheap.servedShare()));
            }
        }
        Files.writeString(BuildFolder.file("capacity-comparison.txt"), table, StandardCharsets.UTF_8);
        System.out.print(table);
    }

    /** Guards against stopping an endpoint that still has calls. */
    @Test
    void drainsBeforeItStops() {
        CapacityTrace trace = CapacityTrace.training(1);
        CapacityCore core = new CapacityCore("t", new CapacitySettings(0, 300_000, 900_000));
        core.on(0, new CapacityInput.Plans(List.of(trace.plan(false))));
        core.on(0, new CapacityInput.Endpoints(List.of()));
        Map<EndpointId, EndpointOrder> first =
                desired(core.on(0, new CapacityInput.Demand(SERVICE, 20))).orElseThrow();
        assertThat(first.size(), is(2));
        List<CapacityEffect> effects = core.on(1_000_000, new CapacityInput.Demand(SERVICE, 0));
        assertThat(desired(effects).isPresent(), is(false));
        List<EndpointId> draining = effects.stream()
                .filter(CapacityEffect.Drain.class::isInstance)
                .map(e -> ((CapacityEffect.Drain) e).endpoint())
                .toList();
        assertThat(draining.size(), is(2));
        Map<EndpointId, EndpointOrder> after = desired(core.on(1_001_000, new CapacityInput.Drained(draining.get(0))))
                .orElseThrow();
        assertThat(after.get(draining.get(0)).running(), is(false));
        assertThat(after.get(draining.get(1)).running(), is(true));
    }

    /** Guards against a new lease holder that orders another fleet in addition to the running one. */
    @Test
    void newHolderAdoptsTheRunningFleet() {
        CapacityTrace trace = CapacityTrace.training(1);
        CapacityCore core = new CapacityCore("f2", CapacitySettings.DEFAULT);
        core.on(0, new CapacityInput.Plans(List.of(trace.plan(false))));
        assertThat("waits for the list", core.on(0, new CapacityInput.Demand(SERVICE, 20)), is(empty()));
        EndpointOrder running = new EndpointOrder(
                new EndpointId("coachgen-trent-f1-1"), trace.dcs.get(0), SERVICE, Kind.RECLAIMABLE, true);
        Map<EndpointId, EndpointOrder> desired = desired(core.on(0, new CapacityInput.Endpoints(List.of(running))))
                .orElseThrow();
        assertThat(desired.size(), is(2));
        assertThat(desired.get(running.endpoint()), is(running));
    }

    /** Guards against endless orders while no data centre has room; each order would cost two writes. */
    @Test
    void fullPlatformGetsNoOrdersWithNewIds() {
        CapacityTrace trace = CapacityTrace.training(1);
        CapacityCore core = new CapacityCore("t", CapacitySettings.DEFAULT);
        core.on(0, new CapacityInput.Plans(List.of(trace.plan(false))));
        core.on(0, new CapacityInput.Endpoints(List.of()));
        Map<EndpointId, EndpointOrder> desired =
                desired(core.on(0, new CapacityInput.Demand(SERVICE, 20))).orElseThrow();
        for (int round = 0; round < 2 * trace.dcs.size() + 2; round++) {
            for (EndpointId endpoint : desired.keySet()) {
                desired =
                        desired(core.on(1, new CapacityInput.Refused(endpoint))).orElse(desired);
            }
        }
        assertThat(desired.size(), is(2));
        for (EndpointId endpoint : desired.keySet()) {
            assertThat(core.on(2, new CapacityInput.Refused(endpoint)), is(empty()));
        }
    }

    private static Optional<Map<EndpointId, EndpointOrder>> desired(List<CapacityEffect> effects) {
        return effects.stream()
                .filter(CapacityEffect.DesiredEndpoints.class::isInstance)
                .map(e -> ((CapacityEffect.DesiredEndpoints) e).endpoints())
                .findFirst();
    }

    private static CapacityTrace.Policy fixed(CapacityTrace trace) {
        return (nowMs, demand, endpoints, availability) -> {
            while (endpoints.size() < Math.ceil(trace.peak() / CapacityTrace.UNITS_PER_ENDPOINT)) {
                endpoints.add(new CapacityTrace.SimulatedEndpoint("", trace.dcs.get(0), Kind.STANDARD, nowMs));
            }
        };
    }

    /** Adds an endpoint above 80% utilisation and drains one below 50%; makes at most one change a minute. */
    private static final class ThresholdPolicy implements CapacityTrace.Policy {
        private final CapacityTrace trace;
        private final Kind kind;
        private long changedMs = -60_000;

        ThresholdPolicy(CapacityTrace trace, Kind kind) {
            this.trace = trace;
            this.kind = kind;
        }

        @Override
        public void step(
                long nowMs,
                double demand,
                List<CapacityTrace.SimulatedEndpoint> endpoints,
                CapacityTrace.Availability availability) {
            // The initial fleet is sized for the first demand.
            while (nowMs == 0 && endpoints.size() * CapacityTrace.UNITS_PER_ENDPOINT * 0.8 < demand) {
                endpoints.add(new CapacityTrace.SimulatedEndpoint("", dc(endpoints.size()), kind, nowMs));
            }
            long active = endpoints.stream().filter(e -> e.drainingSinceMs < 0).count();
            double utilisation = demand / Math.max(1, active * CapacityTrace.UNITS_PER_ENDPOINT);
            if (nowMs - changedMs < 60_000) {
                return;
            }
            if (utilisation > 0.8 && availability.isAvailable(dc((int) active), kind)) {
                endpoints.add(new CapacityTrace.SimulatedEndpoint("", dc((int) active), kind, nowMs));
                changedMs = nowMs;
            } else if (utilisation < 0.5 && active > 1) {
                endpoints.stream()
                        .filter(e -> e.drainingSinceMs < 0)
                        .findFirst()
                        .orElseThrow()
                        .drainingSinceMs = nowMs;
                changedMs = nowMs;
            }
        }

        private DataCentre dc(int number) {
            return trace.dcs.get(number % trace.dcs.size());
        }
    }

    /** Runs the core and checks that the desired fleet keeps the capacity guarantee of interactive services. */
    private static final class CorePolicy implements CapacityTrace.Policy {
        private final List<String> violations = new ArrayList<>();
        private final CapacityPlan plan;
        private final CapacityCore core = new CapacityCore("t", CapacitySettings.DEFAULT);
        private Map<EndpointId, EndpointOrder> desired = Map.of();
        private final List<EndpointId> draining = new ArrayList<>();

        CorePolicy(CapacityPlan plan) {
            this.plan = plan;
            core.on(0, new CapacityInput.Plans(List.of(plan)));
        }

        @Override
        public void reclaimed(long nowMs, CapacityTrace.SimulatedEndpoint endpoint) {
            apply(core.on(nowMs, new CapacityInput.Reclaimed(new EndpointId(endpoint.id))));
        }

        @Override
        public void step(
                long nowMs,
                double demand,
                List<CapacityTrace.SimulatedEndpoint> endpoints,
                CapacityTrace.Availability availability) {
            apply(core.on(nowMs, new CapacityInput.Demand(SERVICE, demand)));
            apply(core.on(nowMs, new CapacityInput.Endpoints(orders(endpoints))));
            checkGuarantee(nowMs, demand);
            for (EndpointOrder order : List.copyOf(desired.values())) {
                boolean known = endpoints.stream()
                        .anyMatch(e -> e.id.equals(order.endpoint().value()));
                if (order.running() && !known && availability.isAvailable(order.dc(), order.kind())) {
                    endpoints.add(new CapacityTrace.SimulatedEndpoint(
                            order.endpoint().value(), order.dc(), order.kind(), nowMs));
                } else if (order.running() && !known) {
                    apply(core.on(nowMs, new CapacityInput.Refused(order.endpoint())));
                }
            }
            drainEndpoints(nowMs, endpoints);
        }

        private void drainEndpoints(long nowMs, List<CapacityTrace.SimulatedEndpoint> endpoints) {
            for (CapacityTrace.SimulatedEndpoint endpoint : endpoints) {
                boolean isDraining = draining.contains(new EndpointId(endpoint.id));
                endpoint.drainingSinceMs =
                        !isDraining ? -1 : endpoint.drainingSinceMs < 0 ? nowMs : endpoint.drainingSinceMs;
            }
            draining.removeIf(id -> endpoints.stream().noneMatch(e -> e.id.equals(id.value())));
        }

        private static List<EndpointOrder> orders(List<CapacityTrace.SimulatedEndpoint> endpoints) {
            return endpoints.stream()
                    .sorted(Comparator.comparing((CapacityTrace.SimulatedEndpoint e) -> e.id))
                    .map(e -> new EndpointOrder(new EndpointId(e.id), e.dc, SERVICE, e.kind, true))
                    .toList();
        }

        private void checkGuarantee(long nowMs, double demand) {
            List<EndpointOrder> active = desired.values().stream()
                    .filter(o -> o.running() && !draining.contains(o.endpoint()))
                    .toList();
            for (DataCentre lost : plan.dcs()) {
                long remaining = active.stream()
                        .filter(o -> !plan.interactive() || o.kind() == Kind.STANDARD || !o.dc().equals(lost))
                        .count();
                if (remaining * CapacityTrace.UNITS_PER_ENDPOINT < demand) {
                    violations.add("at " + nowMs + " ms only " + remaining + " endpoints remain for demand " + demand
                            + " without " + lost);
                }
            }
        }

        private void apply(List<CapacityEffect> effects) {
            for (CapacityEffect effect : effects) {
                switch (effect) {
                    case CapacityEffect.DesiredEndpoints all -> desired = all.endpoints();
                    case CapacityEffect.Drain drain -> draining.add(drain.endpoint());
                    case CapacityEffect.Undrain undrain -> draining.remove(undrain.endpoint());
                }
            }
        }
    }
}
