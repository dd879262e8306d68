package org.magnoliabridge.orders;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
 * Decides and orders, under a lease, how many endpoints of which kind serve where, on a platform that takes totals.
 *
 * <p>Load pattern: demand comes in bursts, a batch every few seconds, with nothing in between. The largest demand of a
 * hold time counts, so that the pause between two batches removes no endpoint. What is missing is ordered at once; what
 * is not needed is given up only after all that is ordered serves, and never below what served when this process took
 * over, until it has seen the demand for a whole hold time.
 *
 * <pre>{@code
 * for (TotalsEffect effect : core.on(clock.nowMs(), lease.view(), new TotalsInput.Tick())) { ... }
 * }</pre>
 */
public final class TotalsCore {
    // Some steps of a trainer; its pauses between two of them are shorter.
    private static final long HOLD_MS = 15_000;
    // A place that had no endpoints, or took them back, is asked again after this time.
    private static final long CLOSED_MS = 10_000;
    // An order whose endpoints do not serve this long after they should is sent again.
    private static final long OVERDUE_MS = 3_000;
    // An order that was not sent or has no answer is repeated after this time.
    private static final long RETRY_MS = 500;

    private final Map<ServiceId, TotalsPlan> plans = new TreeMap<>(Comparator.comparing(ServiceId::value));
    private final Map<ServiceId, Demand> demands = new HashMap<>();
    private final Map<Place, Ordered> ordered = new HashMap<>();
    private final Map<Place, SlidingMax> peaks = new HashMap<>();
    private final Map<Place, Long> closedUntilMs = new HashMap<>();
    private final Set<Place> sending = new HashSet<>();
    private Map<Place, Integer> serving = Map.of();
    private FencingToken epoch = LeaseView.NOT_HELD.fencing();
    private boolean listed;

    private static final class Demand {
        final long sinceMs;
        final DemandForecast forecast = new DemandForecast();

        Demand(long sinceMs) {
            this.sinceMs = sinceMs;
        }
    }

    /** The last order for a place that may have arrived. */
    private record Ordered(int endpoints, boolean confirmed, long atMs) {}

    /** Takes an input under the lease as it is now; returns what to do. */
    public List<TotalsEffect> on(long nowMs, LeaseView lease, TotalsInput input) {
        follow(lease);
        switch (input) {
            case TotalsInput.Tick tick -> closedUntilMs.values().removeIf(until -> until <= nowMs);
            case TotalsInput.Plans all ->
                all.plans().forEach(p -> plans.put(p.capacity().service(), p));
            case TotalsInput.Demand demand ->
                demands.computeIfAbsent(demand.service(), s -> new Demand(nowMs))
                        .forecast
                        .add(nowMs, demand.units());
            case TotalsInput.Fleet fleet -> {
                serving = fleet.serving();
                fleet.reclaimed().forEach(p -> closedUntilMs.put(p, nowMs + CLOSED_MS));
                listed = true;
            }
            case TotalsInput.Sent sent -> sent(nowMs, sent);
        }
        List<TotalsEffect> effects = new ArrayList<>();
        if (listed && lease.maySend(nowMs)) {
            plans.values().forEach(plan -> decide(nowMs, lease, plan, effects));
        }
        return effects;
    }

    // Another process may have ordered other totals meanwhile, and its view of the demand is not known here.
    private void follow(LeaseView lease) {
        if (lease.held() && !lease.fencing().equals(epoch)) {
            epoch = lease.fencing();
            ordered.clear();
            demands.clear();
            peaks.clear();
            closedUntilMs.clear();
            sending.clear();
        }
    }

    private void sent(long nowMs, TotalsInput.Sent sent) {
        Place place = sent.total().place();
        sending.remove(place);
        switch (sent.outcome()) {
            case ACCEPTED -> ordered.put(place, new Ordered(sent.total().endpoints(), true, nowMs));
            case UNKNOWN, NOT_SENT, STALE_FENCING ->
                ordered.put(place, new Ordered(sent.total().endpoints(), false, nowMs));
            case REFUSED -> {
                ordered.remove(place);
                closedUntilMs.put(place, nowMs + CLOSED_MS);
            }
        }
    }

    private void decide(long nowMs, LeaseView lease, TotalsPlan plan, List<TotalsEffect> effects) {
        Demand demand = demands.get(plan.capacity().service());
        if (demand == null) {
            return;
        }
        boolean demandIsKnown = nowMs - demand.sinceMs >= HOLD_MS;
        Map<Place, Integer> wanted = new LinkedHashMap<>();
        mix(plan, demand).forEach((place, endpoints) -> {
            int peak =
                    peaks.computeIfAbsent(place, p -> new SlidingMax(HOLD_MS)).add(nowMs, endpoints);
            wanted.put(place, demandIsKnown ? peak : Math.max(peak, serving(place)));
        });
        limit(plan, wanted);
        boolean allServe = wanted.entrySet().stream().allMatch(e -> isClosed(e.getKey()) || serves(e));
        wanted.forEach((place, endpoints) -> {
            boolean fewer = endpoints < current(place);
            if (!(fewer && !allServe) && isDue(nowMs, plan, place, endpoints)) {
                sending.add(place);
                effects.add(new TotalsEffect.Send(
                        new Total(place, endpoints), serving(place), lease.fencing(), lease.sendUntilMs()));
            }
        });
    }

    private Map<Place, Integer> mix(TotalsPlan plan, Demand demand) {
        CapacityPlan capacity = plan.capacity();
        int needed = capacity.endpointsFor(demand.forecast.after(capacity.startMs()) * capacity.headroom());
        Set<FleetMix.Place> closed = new HashSet<>();
        Map<Place, Integer> mix = new LinkedHashMap<>();
        for (DataCentre dc : capacity.dcs()) {
            for (Kind kind : Kind.values()) {
                Place place = new Place(capacity.service(), dc, kind);
                mix.put(place, 0);
                if (isClosed(place)) {
                    closed.add(new FleetMix.Place(dc, kind));
                }
            }
        }
        FleetMix.choose(capacity, needed, closed)
                .forEach((p, endpoints) -> mix.put(new Place(capacity.service(), p.dc(), p.kind()), endpoints));
        return mix;
    }

    // Reclaimable endpoints beside many standard ones could pass the limit of their data centre.
    private static void limit(TotalsPlan plan, Map<Place, Integer> wanted) {
        ServiceId service = plan.capacity().service();
        for (DataCentre dc : plan.capacity().dcs()) {
            int standard = Math.min(plan.maxPerDc(), wanted.get(new Place(service, dc, Kind.STANDARD)));
            wanted.put(new Place(service, dc, Kind.STANDARD), standard);
            wanted.merge(new Place(service, dc, Kind.RECLAIMABLE), plan.maxPerDc() - standard, Math::min);
        }
    }

    private boolean isDue(long nowMs, TotalsPlan plan, Place place, int endpoints) {
        if (sending.contains(place) || (isClosed(place) && endpoints > serving(place))) {
            return false;
        }
        Ordered last = ordered.get(place);
        if (last == null) {
            return endpoints != serving(place);
        }
        if (!last.confirmed()) {
            return nowMs - last.atMs() >= RETRY_MS;
        }
        boolean overdue = serving(place) < endpoints
                && nowMs - last.atMs() >= plan.capacity().startMs() + OVERDUE_MS;
        return endpoints != last.endpoints() || overdue;
    }

    private int current(Place place) {
        Ordered last = ordered.get(place);
        return last == null ? serving(place) : last.endpoints();
    }

    private int serving(Place place) {
        return serving.getOrDefault(place, 0);
    }

    private boolean serves(Map.Entry<Place, Integer> wanted) {
        return serving(wanted.getKey()) >= wanted.getValue();
    }

    private boolean isClosed(Place place) {
        return closedUntilMs.containsKey(place);
    }
}
