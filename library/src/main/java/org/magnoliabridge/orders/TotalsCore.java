package org.magnoliabridge.orders;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.magnoliabridge.external.EndpointOrder.Kind;
import org.magnoliabridge.external.EndpointTotals.Place;
import org.magnoliabridge.external.EndpointTotals.Total;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.lease.LeaseView;

/**
 * Decides under a lease how many endpoints serve at each place, and orders them as totals.
 *
 * <p>Demand comes in bursts: a batch every few seconds and nothing in between. Endpoints fail, are reclaimed or vanish.
 * The core therefore sizes by the peak demand of a time window. A fleet of one to two times that demand stays as it is
 * and lost endpoints are replaced, because each start or stop costs weight loads and connections. A smaller fleet is
 * scaled up at once; a larger one is scaled down once the demand has been known for a full window.
 *
 * <p>Nothing is ordered in an evacuated data centre, and its endpoints do not count, so the others make up for them.
 * Its totals stay as they were ordered, because its endpoints serve again when the evacuation ends.
 *
 * <pre>{@code
 * for (TotalsEffect effect : core.on(clock.nowMs(), lease.view(), new TotalsInput.Tick())) { ... }
 * }</pre>
 */
public final class TotalsCore {
    // Spans several steps of a trainer, and so the shorter pauses between them.
    private static final long DEMAND_WINDOW_MS = 15_000;
    // How long a place is avoided after it refused an order or reclaimed an endpoint.
    private static final long AVOIDANCE_MS = 10_000;
    // An endpoint that is missing for this long beyond its start-up time is not expected to return and is reordered.
    private static final long STARTUP_GRACE_MS = 3_000;
    // Delay before an order that was not sent or has no answer is repeated.
    private static final long RETRY_MS = 500;
    // Maximum fleet size as a multiple of the demand; at that size half of the fleet may fail.
    private static final int MAX_DEMAND_MULTIPLE = 2;

    private final Map<ServiceId, TotalsPlan> plans = new TreeMap<>();
    private final Map<ServiceId, Demand> demands = new HashMap<>();
    private final Map<Place, Integer> targets = new TreeMap<>(PLACES);
    private final Map<Place, Order> orders = new HashMap<>();
    private final Map<Place, Long> avoidUntilMs = new HashMap<>();
    private Map<Place, Integer> serving = Map.of();
    private Set<DataCentre> evacuated = Set.of();
    private final Map<Place, Long> shortSinceMs = new HashMap<>();
    private FencingToken epoch = LeaseView.NOT_HELD.fencing();
    private boolean fleetKnown;

    private static final Comparator<Place> PLACES = Comparator.comparing(Place::service)
            .thenComparing(Place::dc, Comparator.comparing(DataCentre::value))
            .thenComparing(Place::kind);

    private static final class Demand {
        final long sinceMs;
        final SlidingMax peak = new SlidingMax(DEMAND_WINDOW_MS);
        int endpoints;

        Demand(long sinceMs) {
            this.sinceMs = sinceMs;
        }
    }

    /** The last order for a place, which is in flight, confirmed, or may not have taken effect. */
    private record Order(int endpoints, State state, long atMs) {}

    private enum State {
        SENDING,
        CONFIRMED,
        UNCERTAIN
    }

    /** Handles an input under the current lease and returns the resulting effects. */
    public List<TotalsEffect> on(long nowMs, LeaseView lease, TotalsInput input) {
        followLease(lease);
        switch (input) {
            case TotalsInput.Tick tick -> avoidUntilMs.values().removeIf(until -> until <= nowMs);
            case TotalsInput.Plans all ->
                all.plans().forEach(p -> plans.put(p.capacity().service(), p));
            case TotalsInput.Demand demand -> recordDemand(nowMs, demand);
            case TotalsInput.Fleet fleet -> {
                serving = fleet.serving();
                evacuated = fleet.evacuated();
                shortSinceMs.keySet().removeIf(p -> evacuated.contains(p.dc()));
                fleet.reclaimed().forEach(p -> avoidUntilMs.put(p, nowMs + AVOIDANCE_MS));
                fleetKnown = true;
            }
            case TotalsInput.Sent sent -> onSent(nowMs, sent);
        }
        List<TotalsEffect> effects = new ArrayList<>();
        if (fleetKnown && lease.maySend(nowMs)) {
            plans.values().stream()
                    .filter(p -> demands.containsKey(p.capacity().service()))
                    .forEach(p -> orderTotals(nowMs, lease, p, effects));
        }
        return effects;
    }

    // The previous holder may have ordered other totals, from demand that this process has not seen.
    private void followLease(LeaseView lease) {
        if (lease.held() && !lease.fencing().equals(epoch)) {
            epoch = lease.fencing();
            orders.clear();
            demands.clear();
            targets.clear();
            avoidUntilMs.clear();
            shortSinceMs.clear();
        }
    }

    private void recordDemand(long nowMs, TotalsInput.Demand demand) {
        TotalsPlan plan = plans.get(demand.service());
        if (plan != null) {
            Demand known = demands.computeIfAbsent(demand.service(), s -> new Demand(nowMs));
            double units = demand.units() * plan.capacity().headroom();
            known.endpoints = known.peak.add(nowMs, plan.capacity().endpointsFor(units));
        }
    }

    private void onSent(long nowMs, TotalsInput.Sent sent) {
        Place place = sent.total().place();
        if (sent.outcome() == OrderOutcome.REFUSED) {
            orders.remove(place);
            avoidUntilMs.put(place, nowMs + AVOIDANCE_MS);
        } else {
            State state = sent.outcome() == OrderOutcome.ACCEPTED ? State.CONFIRMED : State.UNCERTAIN;
            orders.put(place, new Order(sent.total().endpoints(), state, nowMs));
        }
    }

    private void orderTotals(long nowMs, LeaseView lease, TotalsPlan plan, List<TotalsEffect> effects) {
        Demand demand = demands.get(plan.capacity().service());
        int minEndpoints = Math.max(plan.capacity().minStandard(), demand.endpoints);
        int maxEndpoints = MAX_DEMAND_MULTIPLE * minEndpoints;
        List<Place> places = places(plan);
        updateTargets(places, maxEndpoints);
        grow(plan, places, minEndpoints);
        if (nowMs - demand.sinceMs >= DEMAND_WINDOW_MS) {
            shrink(plan, places, maxEndpoints);
        }
        boolean urgent = places.stream().mapToInt(this::serving).sum() < minEndpoints;
        for (Place place : places) {
            if (isDue(nowMs, plan, place, urgent)) {
                Total total = new Total(place, targets.get(place));
                orders.put(place, new Order(total.endpoints(), State.SENDING, nowMs));
                effects.add(new TotalsEffect.Send(total, serving(place), lease.fencing()));
            }
        }
    }

    /** Returns the usable places: standard ones, cheapest first, then any others that have serving endpoints. */
    private List<Place> places(TotalsPlan plan) {
        ServiceId service = plan.capacity().service();
        List<Place> places = new ArrayList<>();
        plan.capacity().dcs().forEach(dc -> places.add(new Place(service, dc, Kind.STANDARD)));
        serving.keySet().stream()
                .filter(p -> p.service().equals(service) && !places.contains(p))
                .sorted(PLACES)
                .forEach(places::add);
        places.removeIf(p -> evacuated.contains(p.dc()));
        return places;
    }

    // Targets include all serving endpoints unless the fleet is too large. An avoided place is expected to add none, so
    // its target is what serves there now.
    private void updateTargets(List<Place> places, int maxEndpoints) {
        boolean tooMany = places.stream().mapToInt(this::serving).sum() > maxEndpoints;
        for (Place place : places) {
            int target = targets.getOrDefault(place, serving(place));
            if (isAvoided(place)) {
                target = serving(place);
            } else if (!tooMany) {
                target = Math.max(target, serving(place));
            }
            targets.put(place, target);
        }
    }

    private void grow(TotalsPlan plan, List<Place> places, int minEndpoints) {
        while (totalTarget(places) < minEndpoints) {
            Optional<Place> smallest = places.stream()
                    .filter(p -> p.kind() == Kind.STANDARD && !isAvoided(p) && targetInDc(places, p) < plan.maxPerDc())
                    .min(Comparator.comparingInt(p -> targetInDc(places, p)));
            if (smallest.isEmpty()) {
                return;
            }
            targets.merge(smallest.get(), 1, Integer::sum);
        }
    }

    // Standard places are sorted by price, so the last of the largest ones is the most expensive of them.
    private void shrink(TotalsPlan plan, List<Place> places, int maxEndpoints) {
        int minPerDc = plan.capacity().minStandard() / plan.capacity().dcs().size();
        while (totalTarget(places) > maxEndpoints) {
            Optional<Place> largest = places.stream()
                    .filter(p -> targets.get(p) > 0 && targetInDc(places, p) > minPerDc)
                    .reduce((a, b) -> targets.get(b) >= targets.get(a) ? b : a);
            if (largest.isEmpty()) {
                return;
            }
            targets.merge(largest.get(), -1, Integer::sum);
        }
    }

    private boolean isDue(long nowMs, TotalsPlan plan, Place place, boolean urgent) {
        int target = targets.get(place);
        long overdueMs = plan.capacity().startupMs() + STARTUP_GRACE_MS;
        if (serving(place) >= target) {
            shortSinceMs.remove(place);
        } else {
            shortSinceMs.putIfAbsent(place, nowMs);
        }
        boolean missing = nowMs - shortSinceMs.getOrDefault(place, nowMs) >= overdueMs;
        Order last = orders.get(place);
        if (last == null) {
            return target < serving(place) || missing || (target > serving(place) && urgent);
        }
        return switch (last.state()) {
            case SENDING -> false;
            case UNCERTAIN -> nowMs - last.atMs() >= RETRY_MS;
            case CONFIRMED -> target != last.endpoints() || (missing && nowMs - last.atMs() >= overdueMs);
        };
    }

    private int totalTarget(List<Place> places) {
        return places.stream().mapToInt(targets::get).sum();
    }

    private int targetInDc(List<Place> places, Place place) {
        return places.stream()
                .filter(p -> p.dc().equals(place.dc()))
                .mapToInt(targets::get)
                .sum();
    }

    private int serving(Place place) {
        return serving.getOrDefault(place, 0);
    }

    private boolean isAvoided(Place place) {
        return avoidUntilMs.containsKey(place);
    }
}
