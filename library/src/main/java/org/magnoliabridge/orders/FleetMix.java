package org.magnoliabridge.orders;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliabridge.external.EndpointOrder.Kind;
import org.magnoliabridge.ids.DataCentre;

/** Chooses the cheapest mix of endpoints that carries a demand. */
final class FleetMix {
    private FleetMix() {}

    /** A data centre and a kind of endpoint. */
    record CapacityPool(DataCentre dc, Kind kind) {}

    /**
     * Returns how many endpoints to run in each pool.
     *
     * @param needed number of endpoints that carries the demand
     * @param avoided pools in which an order was refused or an endpoint reclaimed recently
     */
    static Map<CapacityPool, Integer> choose(CapacityPlan plan, int needed, Set<CapacityPool> avoided) {
        List<DataCentre> standardDcs = availableDcs(plan, Kind.STANDARD, avoided);
        List<DataCentre> reclaimableDcs = availableDcs(plan, Kind.RECLAIMABLE, avoided);
        // If all data centres are full, the service keeps ordering in all of them.
        List<DataCentre> usableStandardDcs = standardDcs.isEmpty() ? plan.dcs() : standardDcs;
        int maxStandard = Math.max(needed, plan.minStandard());
        int bestStandard = maxStandard;
        int bestReclaimable = 0;
        double bestPrice = maxStandard * plan.standardPrice();
        for (int standard = plan.minStandard(); standard < maxStandard; standard++) {
            int reclaimable = reclaimableNeeded(plan, needed - standard, reclaimableDcs.size());
            double price = standard * plan.standardPrice() + reclaimable * plan.reclaimablePrice();
            if (reclaimable >= 0 && standard + reclaimable <= plan.maxEndpoints() && price < bestPrice) {
                bestStandard = standard;
                bestReclaimable = reclaimable;
                bestPrice = price;
            }
        }
        Map<CapacityPool, Integer> mix = new HashMap<>();
        spread(mix, bestStandard, usableStandardDcs, Kind.STANDARD);
        spread(mix, bestReclaimable, reclaimableDcs, Kind.RECLAIMABLE);
        return mix;
    }

    /** Returns whether standard endpoints are to be avoided in every data centre of the plan. */
    static boolean isFull(CapacityPlan plan, Set<CapacityPool> avoided) {
        return availableDcs(plan, Kind.STANDARD, avoided).isEmpty();
    }

    private static List<DataCentre> availableDcs(CapacityPlan plan, Kind kind, Set<CapacityPool> avoided) {
        return plan.dcs().stream()
                .filter(dc -> !avoided.contains(new CapacityPool(dc, kind)))
                .toList();
    }

    /**
     * Returns the smallest number of reclaimable endpoints that replaces {@code part} standard ones, or -1 if no number
     * does.
     */
    private static int reclaimableNeeded(CapacityPlan plan, int part, int dcs) {
        if (part <= 0) {
            return 0;
        }
        if (!plan.interactive()) {
            return dcs > 0 ? part : -1;
        }
        if (dcs < 2) {
            return -1;
        }
        // Spread evenly, the largest data centre holds ceil(n / dcs) endpoints; the others must suffice without it.
        int count = part;
        while (count - ceilDiv(count, dcs) < part) {
            count++;
        }
        return count;
    }

    private static int ceilDiv(int value, int divisor) {
        return (value + divisor - 1) / divisor;
    }

    private static void spread(Map<CapacityPool, Integer> mix, int count, List<DataCentre> dcs, Kind kind) {
        for (int i = 0; i < dcs.size(); i++) {
            int share = count / dcs.size() + (i < count % dcs.size() ? 1 : 0);
            mix.put(new CapacityPool(dcs.get(i), kind), share);
        }
    }
}
