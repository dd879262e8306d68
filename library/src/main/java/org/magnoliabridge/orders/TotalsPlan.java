package org.magnoliabridge.orders;

import java.util.Objects;

/**
 * What {@link TotalsCore} knows about a service.
 *
 * @param capacity demand that an endpoint carries, prices and limits; its data centres stand in the order of price
 * @param maxPerDc most endpoints of both kinds in a data centre
 */
public record TotalsPlan(CapacityPlan capacity, int maxPerDc) {
    public TotalsPlan {
        Objects.requireNonNull(capacity);
        if (maxPerDc < 1) {
            throw new IllegalArgumentException("a data centre must take an endpoint: " + maxPerDc);
        }
    }
}
