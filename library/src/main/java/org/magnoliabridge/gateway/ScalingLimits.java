package org.magnoliabridge.gateway;

import java.util.Map;
import org.magnoliabridge.ids.DataCentre;

/**
 * Limits on the number of endpoints of a service in each data centre, and the prices of endpoints.
 *
 * @param min minimum number of endpoints in a data centre, standard and reclaimable ones together
 * @param max maximum number of endpoints in a data centre, standard and reclaimable ones together
 * @param startMs time from an order until the endpoint serves requests
 * @param reclaimablePriceRatio price of a reclaimable endpoint divided by the price of a standard one
 * @param prices price of one endpoint per second, by data centre
 */
public record ScalingLimits(
        int min, int max, long startMs, double reclaimablePriceRatio, Map<DataCentre, Double> prices) {
    public ScalingLimits {
        prices = Map.copyOf(prices);
        if (min < 0 || max < min) {
            throw new IllegalArgumentException("limits must satisfy 0 <= min <= max: min " + min + ", max " + max);
        }
    }
}
