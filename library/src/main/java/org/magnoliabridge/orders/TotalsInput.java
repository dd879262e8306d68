package org.magnoliabridge.orders;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliabridge.external.EndpointTotals.Place;
import org.magnoliabridge.external.EndpointTotals.Total;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.ServiceId;

/** Inputs of {@link TotalsCore}. */
public sealed interface TotalsInput {
    /** Time has passed; sent several times a second. */
    record Tick() implements TotalsInput {}

    /** Plans of the services whose endpoints are ordered. */
    record Plans(List<TotalsPlan> plans) implements TotalsInput {
        public Plans {
            plans = List.copyOf(plans);
        }
    }

    /** The current demand of a service, in the unit of its plan. */
    record Demand(ServiceId service, double units) implements TotalsInput {}

    /**
     * The serving endpoints, and the places where the platform is reclaiming endpoints.
     *
     * @param serving number of serving endpoints by place; a place that is absent has none
     * @param reclaimed places at which an endpoint has received a reclaim notice
     * @param evacuated data centres whose endpoints get no work
     */
    record Fleet(Map<Place, Integer> serving, List<Place> reclaimed, Set<DataCentre> evacuated) implements TotalsInput {
        public Fleet {
            serving = Map.copyOf(serving);
            reclaimed = List.copyOf(reclaimed);
            evacuated = Set.copyOf(evacuated);
        }

        /** Creates an input without evacuated data centres. */
        public Fleet(Map<Place, Integer> serving, List<Place> reclaimed) {
            this(serving, reclaimed, Set.of());
        }
    }

    /** The outcome of a {@link TotalsEffect.Send}. */
    record Sent(Total total, OrderOutcome outcome) implements TotalsInput {}
}
