package org.magnoliabridge.orders;

import java.util.List;
import java.util.Map;
import org.magnoliabridge.external.EndpointTotals.Place;
import org.magnoliabridge.external.EndpointTotals.Total;
import org.magnoliabridge.ids.ServiceId;

/** What {@link TotalsCore} is told. */
public sealed interface TotalsInput {
    /** Time has passed; sent several times a second. */
    record Tick() implements TotalsInput {}

    /** The services whose endpoints are ordered. */
    record Plans(List<TotalsPlan> plans) implements TotalsInput {
        public Plans {
            plans = List.copyOf(plans);
        }
    }

    /** The demand of a service now, in the unit of its plan. */
    record Demand(ServiceId service, double units) implements TotalsInput {}

    /**
     * The endpoints that take work, and the places from which the platform takes some back.
     *
     * @param serving number of endpoints by place; a place that is not named has none
     * @param reclaimed places of which an endpoint has its notice
     */
    record Fleet(Map<Place, Integer> serving, List<Place> reclaimed) implements TotalsInput {
        public Fleet {
            serving = Map.copyOf(serving);
            reclaimed = List.copyOf(reclaimed);
        }
    }

    /** The outcome of a {@link TotalsEffect.Send}. */
    record Sent(Total total, OrderOutcome outcome) implements TotalsInput {}
}
