package org.magnoliabridge.gateway;

import java.util.List;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.membership.Rendezvous;

/** Chooses the service of a request on a route that is split over several. */
public final class ServiceChoice {
    private ServiceChoice() {}

    /** Returns a service in proportion to the weights; the same request always gets the same one. */
    public static ServiceId choose(List<WeightedService> services, String requestId) {
        if (services.size() == 1) {
            return services.getFirst().service();
        }
        long total = services.stream().mapToLong(WeightedService::weight).sum();
        long point = total == 0 ? 0 : Math.floorMod(Rendezvous.hash(requestId), total);
        for (WeightedService part : services) {
            point -= part.weight();
            if (point < 0) {
                return part.service();
            }
        }
        return services.getLast().service();
    }
}
