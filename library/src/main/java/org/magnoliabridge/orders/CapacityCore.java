package org.magnoliabridge.orders;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.magnoliabridge.external.EndpointOrder;
import org.magnoliabridge.external.EndpointOrder.Kind;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ServiceId;

/**
 * Decides how many endpoints of each kind run in each data centre.
 *
 * <p>The number of endpoints of a service follows from its forecast demand. The cheapest mix of kinds that carries the
 * demand is spread over the data centres. Scaling up is immediate; scaling down waits for
 * {@link CapacitySettings#scaleDownDelayMs()}, and an endpoint is drained before it is stopped. Create a new core
 * whenever the lease is acquired.
 *
 * <pre>{@code
 * CapacityCore capacity = new CapacityCore("f" + fencing, CapacitySettings.DEFAULT);
 * List<CapacityEffect> effects = capacity.on(clock.nowMs(), new CapacityInput.Demand(service, inFlight + waiting));
 * }</pre>
 */
public final class CapacityCore {
    private final String idPrefix;
    private final CapacitySettings settings;
    private final Map<ServiceId, CapacityPlan> plans = new TreeMap<>();
    private final Map<ServiceId, DemandForecast> forecasts = new HashMap<>();
    private final Map<EndpointId, ManagedEndpoint> endpoints = new TreeMap<>();
    private final Map<ServicePool, SlidingMax> peaks = new HashMap<>();
    private final Map<ServicePool, Long> avoidUntilMs = new HashMap<>();
    private final List<CapacityEffect> effects = new ArrayList<>();
    private Map<EndpointId, EndpointOrder> lastPublished = Map.of();
    private boolean listReceived;
    private long nextId = 1;

    /**
     * Creates a core that waits for the endpoint list.
     *
     * @param idPrefix prefix within the ids of new endpoints; unique for each lease holder, so that no id is used twice
     */
    public CapacityCore(String idPrefix, CapacitySettings settings) {
        this.idPrefix = Objects.requireNonNull(idPrefix);
        this.settings = Objects.requireNonNull(settings);
    }

    /** Handles an input and returns the resulting effects. */
    public List<CapacityEffect> on(long nowMs, CapacityInput input) {
        switch (input) {
            case CapacityInput.Tick tick -> stopOverdueDrains(nowMs);
            case CapacityInput.Plans all -> all.plans().forEach(p -> plans.put(p.service(), p));
            case CapacityInput.Demand demand ->
                forecasts
                        .computeIfAbsent(demand.service(), s -> new DemandForecast())
                        .add(nowMs, demand.units());
            case CapacityInput.Endpoints all -> onEndpointList(all);
            case CapacityInput.Reclaimed reclaimed -> onLost(nowMs, reclaimed.endpoint());
            case CapacityInput.Refused refused -> onRefused(nowMs, refused.endpoint());
            case CapacityInput.Drained drained -> onDrained(drained.endpoint());
        }
        if (listReceived) {
            plans.values().forEach(p -> resizeService(nowMs, p));
            publish();
        }
        List<CapacityEffect> taken = List.copyOf(effects);
        effects.clear();
        return taken;
    }

    private void onEndpointList(CapacityInput.Endpoints all) {
        Set<EndpointId> listedIds = new HashSet<>();
        for (EndpointOrder order : all.endpoints()) {
            listedIds.add(order.endpoint());
            ManagedEndpoint known =
                    endpoints.computeIfAbsent(order.endpoint(), id -> new ManagedEndpoint(order, State.RUNNING));
            known.listed = true;
            if (!order.running() && known.state == State.RUNNING) {
                known.state = State.STOPPED;
            }
        }
        // An endpoint that disappears from the list has ended. One that was never listed may still be starting.
        endpoints
                .values()
                .removeIf(e -> (e.listed || e.state == State.STOPPED) && !listedIds.contains(e.order.endpoint()));
        listReceived = true;
    }

    // If every standard pool is avoided, the endpoint stays in the desired state and OrdersCore retries its order after
    // the list period. A replacement with a new id would be refused at once, in an endless loop.
    private void onRefused(long nowMs, EndpointId endpoint) {
        ManagedEndpoint managed = endpoints.get(endpoint);
        CapacityPlan plan = managed == null ? null : plans.get(managed.order.service());
        if (plan == null || !FleetMix.isFull(plan, avoidedPools(nowMs, plan))) {
            onLost(nowMs, endpoint);
        }
    }

    // The pool is avoided for a while, because a reclaim affects a whole data centre and a refusal tends to persist.
    private void onLost(long nowMs, EndpointId endpoint) {
        ManagedEndpoint managed = endpoints.get(endpoint);
        if (managed == null || managed.state == State.STOPPED) {
            return;
        }
        ServicePool pool = managed.pool();
        avoidUntilMs.put(pool, nowMs + settings.avoidanceMs());
        managed.state = State.STOPPED;
        // Other pending orders of this pool would be refused too. An endpoint of an accepted one appears in the list.
        endpoints.values().removeIf(e -> !e.listed && e.pool().equals(pool));
    }

    private void onDrained(EndpointId endpoint) {
        ManagedEndpoint managed = endpoints.get(endpoint);
        if (managed != null && managed.state == State.DRAINING) {
            managed.state = State.STOPPED;
        }
    }

    private void stopOverdueDrains(long nowMs) {
        for (ManagedEndpoint managed : endpoints.values()) {
            if (managed.state == State.DRAINING && nowMs - managed.drainingSinceMs >= settings.drainLimitMs()) {
                managed.state = State.STOPPED;
            }
        }
    }

    private void resizeService(long nowMs, CapacityPlan plan) {
        DemandForecast forecast = forecasts.get(plan.service());
        if (forecast == null || !forecast.hasSamples()) {
            return;
        }
        int needed = plan.endpointsFor(forecast.expectedIn(plan.startupMs()) * plan.headroom());
        Map<FleetMix.CapacityPool, Integer> mix = FleetMix.choose(plan, needed, avoidedPools(nowMs, plan));
        for (ServicePool pool : pools(plan)) {
            resizePool(nowMs, pool, mix.getOrDefault(new FleetMix.CapacityPool(pool.dc(), pool.kind()), 0));
        }
    }

    /** Returns the pools that the plan allows, and other pools in which the service still has endpoints. */
    private Set<ServicePool> pools(CapacityPlan plan) {
        Set<ServicePool> pools = new LinkedHashSet<>();
        for (DataCentre dc : plan.dcs()) {
            for (Kind kind : Kind.values()) {
                pools.add(new ServicePool(plan.service(), dc, kind));
            }
        }
        endpoints.values().stream()
                .map(ManagedEndpoint::pool)
                .filter(p -> p.service().equals(plan.service()))
                .forEach(pools::add);
        return pools;
    }

    private Set<FleetMix.CapacityPool> avoidedPools(long nowMs, CapacityPlan plan) {
        avoidUntilMs.values().removeIf(until -> until <= nowMs);
        Set<FleetMix.CapacityPool> avoided = new HashSet<>();
        for (ServicePool pool : avoidUntilMs.keySet()) {
            if (pool.service().equals(plan.service())) {
                avoided.add(new FleetMix.CapacityPool(pool.dc(), pool.kind()));
            }
        }
        return avoided;
    }

    private void resizePool(long nowMs, ServicePool pool, int needed) {
        int peak = peaks.computeIfAbsent(pool, p -> new SlidingMax(settings.scaleDownDelayMs()))
                .add(nowMs, needed);
        List<ManagedEndpoint> running = endpoints(pool, State.RUNNING);
        for (int i = running.size(); i < needed; i++) {
            addEndpoint(pool);
        }
        for (int i = running.size(); i > peak; i--) {
            ManagedEndpoint last = running.get(i - 1);
            last.state = State.DRAINING;
            last.drainingSinceMs = nowMs;
            effects.add(new CapacityEffect.Drain(last.order.endpoint()));
        }
    }

    private void addEndpoint(ServicePool pool) {
        List<ManagedEndpoint> draining = endpoints(pool, State.DRAINING);
        if (!draining.isEmpty()) {
            draining.get(0).state = State.RUNNING;
            effects.add(new CapacityEffect.Undrain(draining.get(0).order.endpoint()));
            return;
        }
        EndpointId id = new EndpointId(pool.service() + "-" + pool.dc() + "-" + idPrefix + "-" + nextId++);
        EndpointOrder order = new EndpointOrder(id, pool.dc(), pool.service(), pool.kind(), true);
        endpoints.put(id, new ManagedEndpoint(order, State.RUNNING));
    }

    /** Returns the endpoints of a pool, listed ones first, so that endpoints not yet listed are drained first. */
    private List<ManagedEndpoint> endpoints(ServicePool pool, State state) {
        return endpoints.values().stream()
                .filter(e -> e.state == state && e.pool().equals(pool))
                .sorted(Comparator.comparing((ManagedEndpoint e) -> !e.listed))
                .toList();
    }

    private void publish() {
        Map<EndpointId, EndpointOrder> desired = new TreeMap<>();
        for (ManagedEndpoint managed : endpoints.values()) {
            EndpointOrder o = managed.order;
            boolean running = managed.state != State.STOPPED;
            desired.put(o.endpoint(), new EndpointOrder(o.endpoint(), o.dc(), o.service(), o.kind(), running));
        }
        if (!desired.equals(lastPublished)) {
            lastPublished = desired;
            effects.add(new CapacityEffect.DesiredEndpoints(desired));
        }
    }

    private enum State {
        RUNNING,
        DRAINING,
        STOPPED
    }

    /** The endpoints of one service that have the same data centre and kind. */
    private record ServicePool(ServiceId service, DataCentre dc, Kind kind) {}

    private static final class ManagedEndpoint {
        final EndpointOrder order;
        State state;
        boolean listed;
        long drainingSinceMs;

        ManagedEndpoint(EndpointOrder order, State state) {
            this.order = order;
            this.state = state;
        }

        ServicePool pool() {
            return new ServicePool(order.service(), order.dc(), order.kind());
        }
    }
}
