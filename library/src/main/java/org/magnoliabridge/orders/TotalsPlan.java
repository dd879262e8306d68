package org.magnoliabridge.orders;

import java.util.Objects;

/**
 * Capacity, prices and limits of a service for {@link TotalsCore}.
 *
 * @param capacity demand that an endpoint can carry, prices and limits; its data centres are sorted, cheapest first
 * @param maxPerDc maximum number of endpoints of both kinds in a data centre
 */
public record TotalsPlan(CapacityPlan capacity, int maxPerDc) {
    public TotalsPlan {
        Objects.requireNonNull(capacity);
        if (maxPerDc < 1) {
            throw new IllegalArgumentException("maxPerDc must be at least 1: " + maxPerDc);
        }
    }
}
