package org.magnoliabridge.gateway;

import java.util.Objects;
import org.magnoliabridge.ids.ServiceId;

/**
 * A service that receives a share of a route's requests.
 *
 * @param weight the share is this weight divided by the sum of the route's weights; 0 receives no requests
 */
public record WeightedService(ServiceId service, int weight) {
    public WeightedService {
        Objects.requireNonNull(service);
        if (weight < 0) {
            throw new IllegalArgumentException("weight must not be negative: " + weight);
        }
    }
}
