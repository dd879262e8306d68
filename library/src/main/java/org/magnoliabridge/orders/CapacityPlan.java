package org.magnoliabridge.orders;

import java.util.List;
import java.util.Objects;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.ServiceId;

/**
 * Capacity, prices and limits by which the number of endpoints of a service is decided.
 *
 * @param interactive whether users wait for answers; if so, enough capacity must remain when a data centre loses all
 *     of its reclaimable endpoints
 * @param dcs the data centres in which its endpoints may run
 * @param unitsPerEndpoint demand that one endpoint can carry, in the unit of the reported demand
 * @param headroom factor on the forecast demand, at least 1
 * @param startupMs time from an order until the endpoint accepts work, in milliseconds
 * @param standardPrice price of a standard endpoint per hour
 * @param reclaimablePrice price of a reclaimable endpoint per hour, in the same currency
 * @param minStandard minimum number of standard endpoints
 * @param maxEndpoints maximum number of endpoints of both kinds together
 */
public record CapacityPlan(
        ServiceId service,
        boolean interactive,
        List<DataCentre> dcs,
        double unitsPerEndpoint,
        double headroom,
        long startupMs,
        double standardPrice,
        double reclaimablePrice,
        int minStandard,
        int maxEndpoints) {
    public CapacityPlan {
        Objects.requireNonNull(service);
        dcs = List.copyOf(dcs);
        if (dcs.isEmpty() || unitsPerEndpoint <= 0 || headroom < 1 || startupMs < 0) {
            throw new IllegalArgumentException(
                    "need a data centre, unitsPerEndpoint above 0, headroom of at least 1 and startupMs of at least 0");
        }
        if (minStandard < 0 || maxEndpoints < Math.max(1, minStandard)) {
            throw new IllegalArgumentException(
                    "endpoint limits are inconsistent: minStandard " + minStandard + ", maxEndpoints " + maxEndpoints);
        }
    }

    /** Returns how many endpoints a demand needs, at most {@link #maxEndpoints}; adds no headroom. */
    int endpointsFor(double demand) {
        return (int) Math.min(maxEndpoints, Math.ceil(Math.max(0, demand) / unitsPerEndpoint));
    }
}
