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
 * Decides how many endpoints of which kind run where.
 *
 * <p>The forecast demand of each service gives a number of endpoints; the cheapest mix of kinds that carries it is
 * spread over the data centres. More endpoints are ordered at once, fewer only after a hold, and an endpoint is drained
 * before it is stopped. Create a new core whenever the lease is acquired.
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
     * @param idPrefix part of the ids of new endpoints; unique for each holder, so that no id is used twice
     */
    public CapacityCore(String idPrefix, CapacitySettings settings) {
        this.idPrefix = Objects.requireNonNull(idPrefix);
        this.settings = Objects.requireNonNull(settings);
    }

    /** Takes an input; returns what to do. */
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
        Set<EndpointId> seen = new HashSet<>();
        for (EndpointOrder order : all.endpoints()) {
            seen.add(order.endpoint());
            ManagedEndpoint known =
                    endpoints.computeIfAbsent(order.endpoint(), id -> new ManagedEndpoint(order, State.RUNNING));
            known.listed = true;
            if (!order.running() && known.state == State.RUNNING) {
                known.state = State.STOPPED;
            }
        }
        // An endpoint that was listed and is no longer has ended; one that was never listed may still be on order.
        endpoints.values().removeIf(m -> (m.listed || m.state == State.STOPPED) && !seen.contains(m.order.endpoint()));
        listReceived = true;
    }

    // When every place is closed there is nowhere else to go, so the endpoint stays wanted and is ordered again by
    // OrdersCore at its own pace; a replacement with a new id would be refused at once, without end.
    private void onRefused(long nowMs, EndpointId endpoint) {
        ManagedEndpoint member = endpoints.get(endpoint);
        CapacityPlan plan = member == null ? null : plans.get(member.order.service());
        if (plan == null || !FleetMix.isFull(plan, avoidedPools(nowMs, plan))) {
            onLost(nowMs, endpoint);
        }
    }

    // The place is avoided for a while: a reclaim takes a whole data centre, and a refusal lasts.
    private void onLost(long nowMs, EndpointId endpoint) {
        ManagedEndpoint member = endpoints.get(endpoint);
        if (member == null || member.state == State.STOPPED) {
            return;
        }
        ServicePool spot = member.pool();
        avoidUntilMs.put(spot, nowMs + settings.avoidanceMs());
        member.state = State.STOPPED;
        // The others on order there would be refused too; one that was accepted all the same is adopted from the list.
        endpoints.values().removeIf(m -> !m.listed && m.pool().equals(spot));
    }

    private void onDrained(EndpointId endpoint) {
        ManagedEndpoint member = endpoints.get(endpoint);
        if (member != null && member.state == State.DRAINING) {
            member.state = State.STOPPED;
        }
    }

    private void stopOverdueDrains(long nowMs) {
        for (ManagedEndpoint member : endpoints.values()) {
            if (member.state == State.DRAINING && nowMs - member.drainingSinceMs >= settings.drainLimitMs()) {
                member.state = State.STOPPED;
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
        for (ServicePool spot : pools(plan)) {
            resizePool(nowMs, spot, mix.getOrDefault(new FleetMix.CapacityPool(spot.dc(), spot.kind()), 0));
        }
    }

    /** Returns where the service may run and where it still runs although its plan no longer names the place. */
    private Set<ServicePool> pools(CapacityPlan plan) {
        Set<ServicePool> spots = new LinkedHashSet<>();
        for (DataCentre dc : plan.dcs()) {
            for (Kind kind : Kind.values()) {
                spots.add(new ServicePool(plan.service(), dc, kind));
            }
        }
        endpoints.values().stream()
                .map(ManagedEndpoint::pool)
                .filter(s -> s.service().equals(plan.service()))
                .forEach(spots::add);
        return spots;
    }

    private Set<FleetMix.CapacityPool> avoidedPools(long nowMs, CapacityPlan plan) {
        avoidUntilMs.values().removeIf(until -> until <= nowMs);
        Set<FleetMix.CapacityPool> closed = new HashSet<>();
        for (ServicePool spot : avoidUntilMs.keySet()) {
            if (spot.service().equals(plan.service())) {
                closed.add(new FleetMix.CapacityPool(spot.dc(), spot.kind()));
            }
        }
        return closed;
    }

    private void resizePool(long nowMs, ServicePool spot, int needed) {
        int peak = peaks.computeIfAbsent(spot, s -> new SlidingMax(settings.scaleDownDelayMs()))
                .add(nowMs, needed);
        List<ManagedEndpoint> running = endpoints(spot, State.RUNNING);
        for (int i = running.size(); i < needed; i++) {
            addEndpoint(spot);
        }
        for (int i = running.size(); i > peak; i--) {
            ManagedEndpoint last = running.get(i - 1);
            last.state = State.DRAINING;
            last.drainingSinceMs = nowMs;
            effects.add(new CapacityEffect.Drain(last.order.endpoint()));
        }
    }

    private void addEndpoint(ServicePool spot) {
        List<ManagedEndpoint> draining = endpoints(spot, State.DRAINING);
        if (!draining.isEmpty()) {
            draining.get(0).state = State.RUNNING;
            effects.add(new CapacityEffect.Undrain(draining.get(0).order.endpoint()));
            return;
        }
        EndpointId id = new EndpointId(spot.service() + "-" + spot.dc() + "-" + idPrefix + "-" + nextId++);
        EndpointOrder order = new EndpointOrder(id, spot.dc(), spot.service(), spot.kind(), true);
        endpoints.put(id, new ManagedEndpoint(order, State.RUNNING));
    }

    /** Returns the members at a place, those seen in the list first, so that the ones still on order go first. */
    private List<ManagedEndpoint> endpoints(ServicePool spot, State state) {
        return endpoints.values().stream()
                .filter(m -> m.state == state && m.pool().equals(spot))
                .sorted(Comparator.comparing((ManagedEndpoint m) -> !m.listed))
                .toList();
    }

    private void publish() {
        Map<EndpointId, EndpointOrder> wanted = new TreeMap<>();
        for (ManagedEndpoint member : endpoints.values()) {
            EndpointOrder o = member.order;
            boolean running = member.state != State.STOPPED;
            wanted.put(o.endpoint(), new EndpointOrder(o.endpoint(), o.dc(), o.service(), o.kind(), running));
        }
        if (!wanted.equals(lastPublished)) {
            lastPublished = wanted;
            effects.add(new CapacityEffect.DesiredEndpoints(wanted));
        }
    }

    private enum State {
        RUNNING,
        DRAINING,
        STOPPED
    }

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
