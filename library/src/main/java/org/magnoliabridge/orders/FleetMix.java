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
     * Returns how many endpoints to run at each place.
     *
     * @param needed endpoints that carry the demand
     * @param closed places that lately refused or took back endpoints
     */
    static Map<CapacityPool, Integer> choose(CapacityPlan plan, int needed, Set<CapacityPool> closed) {
        List<DataCentre> standardDcs = availableDcs(plan, Kind.STANDARD, closed);
        List<DataCentre> cheapDcs = availableDcs(plan, Kind.RECLAIMABLE, closed);
        // A service that finds every data centre full goes on asking all of them.
        List<DataCentre> usable = standardDcs.isEmpty() ? plan.dcs() : standardDcs;
        int most = Math.max(needed, plan.minStandard());
        int bestStandard = most;
        int bestCheap = 0;
        double bestPrice = most * plan.standardPrice();
        for (int standard = plan.minStandard(); standard < most; standard++) {
            int cheap = reclaimableNeeded(plan, needed - standard, cheapDcs.size());
            double price = standard * plan.standardPrice() + cheap * plan.reclaimablePrice();
            if (cheap >= 0 && standard + cheap <= plan.maxEndpoints() && price < bestPrice) {
                bestStandard = standard;
                bestCheap = cheap;
                bestPrice = price;
            }
        }
        Map<CapacityPool, Integer> mix = new HashMap<>();
        spread(mix, bestStandard, usable, Kind.STANDARD);
        spread(mix, bestCheap, cheapDcs, Kind.RECLAIMABLE);
        return mix;
    }

    /** Returns whether no data centre is known to have room for a standard endpoint. */
    static boolean isFull(CapacityPlan plan, Set<CapacityPool> closed) {
        return availableDcs(plan, Kind.STANDARD, closed).isEmpty();
    }

    private static List<DataCentre> availableDcs(CapacityPlan plan, Kind kind, Set<CapacityPool> closed) {
        return plan.dcs().stream()
                .filter(dc -> !closed.contains(new CapacityPool(dc, kind)))
                .toList();
    }

    /** Returns the fewest reclaimable endpoints that carry a part, or -1 if none do. */
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
        // Spread evenly, the largest data centre holds ceil(n / dcs); what is left without it must carry the part.
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
