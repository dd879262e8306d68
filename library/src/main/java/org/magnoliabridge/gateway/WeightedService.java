package org.magnoliabridge.gateway;

import java.util.Objects;
import org.magnoliabridge.ids.ServiceId;

/**
 * A service that gets a share of a route's requests.
 *
 * @param weight share in proportion to the sum of the route's weights; 0 sends nothing
 */
public record WeightedService(ServiceId service, int weight) {
    public WeightedService {
        Objects.requireNonNull(service);
        if (weight < 0) {
            throw new IllegalArgumentException("weight must not be negative: " + weight);
        }
    }
}
