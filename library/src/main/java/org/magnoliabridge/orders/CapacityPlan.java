package org.magnoliabridge.orders;

import java.util.List;
import java.util.Objects;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.ServiceId;

/**
 * What the capacity decision knows about a service.
 *
 * @param interactive whether people wait for answers, so that the loss of one data centre's reclaimable endpoints must
 *     leave enough capacity
 * @param dcs the data centres in which its endpoints may run
 * @param unitsPerEndpoint demand that one endpoint carries, in the unit of the reported demand
 * @param headroom factor on the forecast demand, at least 1
 * @param startupMs time from an order until an endpoint takes work, in milliseconds
 * @param standardPrice price of a standard endpoint per hour
 * @param reclaimablePrice price of a reclaimable endpoint per hour, in the same currency
 * @param minStandard fewest standard endpoints
 * @param maxEndpoints most endpoints of both kinds
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
            throw new IllegalArgumentException("a service needs a data centre, capacity and a headroom of at least 1");
        }
        if (minStandard < 0 || maxEndpoints < Math.max(1, minStandard)) {
            throw new IllegalArgumentException("the limits on endpoints contradict each other");
        }
    }

    /** Returns how many endpoints carry a demand without headroom. */
    int endpointsFor(double demand) {
        return (int) Math.min(maxEndpoints, Math.ceil(Math.max(0, demand) / unitsPerEndpoint));
    }
}
