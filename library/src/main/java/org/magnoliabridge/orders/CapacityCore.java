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
    private final Map<EndpointId, Member> members = new TreeMap<>();
    private final Map<Spot, SlidingMax> peaks = new HashMap<>();
    private final Map<Spot, Long> closedUntilMs = new HashMap<>();
    private final List<CapacityEffect> effects = new ArrayList<>();
    private Map<EndpointId, EndpointOrder> lastWanted = Map.of();
    private boolean listed;
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
            case CapacityInput.Tick tick -> endLongDrains(nowMs);
            case CapacityInput.Plans all -> all.plans().forEach(p -> plans.put(p.service(), p));
            case CapacityInput.Demand demand ->
                forecasts
                        .computeIfAbsent(demand.service(), s -> new DemandForecast())
                        .add(nowMs, demand.units());
            case CapacityInput.Endpoints all -> adopt(all);
            case CapacityInput.Reclaimed reclaimed -> lose(nowMs, reclaimed.endpoint());
            case CapacityInput.Refused refused -> refuse(nowMs, refused.endpoint());
            case CapacityInput.Drained drained -> stop(drained.endpoint());
        }
        if (listed) {
            plans.values().forEach(p -> decide(nowMs, p));
            publish();
        }
        List<CapacityEffect> taken = List.copyOf(effects);
        effects.clear();
        return taken;
    }

    private void adopt(CapacityInput.Endpoints all) {
        Set<EndpointId> seen = new HashSet<>();
        for (EndpointOrder order : all.endpoints()) {
            seen.add(order.endpoint());
            Member known = members.computeIfAbsent(order.endpoint(), id -> new Member(order, State.RUNNING));
            known.seen = true;
            if (!order.running() && known.state == State.RUNNING) {
                known.state = State.STOPPED;
            }
        }
        // An endpoint that was listed and is no longer has ended; one that was never listed may still be on order.
        members.values().removeIf(m -> (m.seen || m.state == State.STOPPED) && !seen.contains(m.order.endpoint()));
        listed = true;
    }

    // When every place is closed there is nowhere else to go, so the endpoint stays wanted and is ordered again by
    // OrdersCore at its own pace; a replacement with a new id would be refused at once, without end.
    private void refuse(long nowMs, EndpointId endpoint) {
        Member member = members.get(endpoint);
        CapacityPlan plan = member == null ? null : plans.get(member.order.service());
        if (plan == null || !FleetMix.isFull(plan, closedPlaces(nowMs, plan))) {
            lose(nowMs, endpoint);
        }
    }

    // The place is avoided for a while: a reclaim takes a whole data centre, and a refusal lasts.
    private void lose(long nowMs, EndpointId endpoint) {
        Member member = members.get(endpoint);
        if (member == null || member.state == State.STOPPED) {
            return;
        }
        Spot spot = member.spot();
        closedUntilMs.put(spot, nowMs + settings.closedMs());
        member.state = State.STOPPED;
        // The others on order there would be refused too; one that was accepted all the same is adopted from the list.
        members.values().removeIf(m -> !m.seen && m.spot().equals(spot));
    }

    private void stop(EndpointId endpoint) {
        Member member = members.get(endpoint);
        if (member != null && member.state == State.DRAINING) {
            member.state = State.STOPPED;
        }
    }

    private void endLongDrains(long nowMs) {
        for (Member member : members.values()) {
            if (member.state == State.DRAINING && nowMs - member.drainingSinceMs >= settings.drainLimitMs()) {
                member.state = State.STOPPED;
            }
        }
    }

    private void decide(long nowMs, CapacityPlan plan) {
        DemandForecast forecast = forecasts.get(plan.service());
        if (forecast == null || !forecast.isKnown()) {
            return;
        }
        int needed = plan.endpointsFor(forecast.after(plan.startMs()) * plan.headroom());
        Map<FleetMix.Place, Integer> mix = FleetMix.choose(plan, needed, closedPlaces(nowMs, plan));
        for (Spot spot : spots(plan)) {
            resize(nowMs, spot, mix.getOrDefault(new FleetMix.Place(spot.dc(), spot.kind()), 0));
        }
    }

    /** Returns where the service may run and where it still runs although its plan no longer names the place. */
    private Set<Spot> spots(CapacityPlan plan) {
        Set<Spot> spots = new LinkedHashSet<>();
        for (DataCentre dc : plan.dcs()) {
            for (Kind kind : Kind.values()) {
                spots.add(new Spot(plan.service(), dc, kind));
            }
        }
        members.values().stream()
                .map(Member::spot)
                .filter(s -> s.service().equals(plan.service()))
                .forEach(spots::add);
        return spots;
    }

    private Set<FleetMix.Place> closedPlaces(long nowMs, CapacityPlan plan) {
        closedUntilMs.values().removeIf(until -> until <= nowMs);
        Set<FleetMix.Place> closed = new HashSet<>();
        for (Spot spot : closedUntilMs.keySet()) {
            if (spot.service().equals(plan.service())) {
                closed.add(new FleetMix.Place(spot.dc(), spot.kind()));
            }
        }
        return closed;
    }

    private void resize(long nowMs, Spot spot, int needed) {
        int peak = peaks.computeIfAbsent(spot, s -> new SlidingMax(settings.holdMs()))
                .add(nowMs, needed);
        List<Member> running = members(spot, State.RUNNING);
        for (int i = running.size(); i < needed; i++) {
            grow(spot);
        }
        for (int i = running.size(); i > peak; i--) {
            Member last = running.get(i - 1);
            last.state = State.DRAINING;
            last.drainingSinceMs = nowMs;
            effects.add(new CapacityEffect.Drain(last.order.endpoint()));
        }
    }

    private void grow(Spot spot) {
        List<Member> draining = members(spot, State.DRAINING);
        if (!draining.isEmpty()) {
            draining.get(0).state = State.RUNNING;
            effects.add(new CapacityEffect.Undrain(draining.get(0).order.endpoint()));
            return;
        }
        EndpointId id = new EndpointId(spot.service() + "-" + spot.dc() + "-" + idPrefix + "-" + nextId++);
        EndpointOrder order = new EndpointOrder(id, spot.dc(), spot.service(), spot.kind(), true);
        members.put(id, new Member(order, State.RUNNING));
    }

    /** Returns the members at a place, those seen in the list first, so that the ones still on order go first. */
    private List<Member> members(Spot spot, State state) {
        return members.values().stream()
                .filter(m -> m.state == state && m.spot().equals(spot))
                .sorted(Comparator.comparing((Member m) -> !m.seen))
                .toList();
    }

    private void publish() {
        Map<EndpointId, EndpointOrder> wanted = new TreeMap<>();
        for (Member member : members.values()) {
            EndpointOrder o = member.order;
            boolean running = member.state != State.STOPPED;
            wanted.put(o.endpoint(), new EndpointOrder(o.endpoint(), o.dc(), o.service(), o.kind(), running));
        }
        if (!wanted.equals(lastWanted)) {
            lastWanted = wanted;
            effects.add(new CapacityEffect.Wanted(wanted));
        }
    }

    private enum State {
        RUNNING,
        DRAINING,
        STOPPED
    }

    private record Spot(ServiceId service, DataCentre dc, Kind kind) {}

    private static final class Member {
        final EndpointOrder order;
        State state;
        boolean seen;
        long drainingSinceMs;

        Member(EndpointOrder order, State state) {
            this.order = order;
            this.state = state;
        }

        Spot spot() {
            return new Spot(order.service(), order.dc(), order.kind());
        }
    }
}
