package org.magnoliabridge.gateway;

import java.util.Map;
import org.magnoliabridge.ids.DataCentre;

/**
 * How many endpoints of a service may be ordered in a data centre, and at what price.
 *
 * @param min fewest endpoints of both kinds in a data centre
 * @param max most endpoints of both kinds in a data centre
 * @param startMs time from an order until the endpoint serves
 * @param reclaimablePriceRatio price of a reclaimable endpoint as a share of the price of the others
 * @param prices price of one second of an endpoint by data centre
 */
public record ScalingLimits(
        int min, int max, long startMs, double reclaimablePriceRatio, Map<DataCentre, Double> prices) {
    public ScalingLimits {
        prices = Map.copyOf(prices);
        if (min < 0 || max < min) {
            throw new IllegalArgumentException("limits contradict each other: " + min + " to " + max);
        }
    }
}
