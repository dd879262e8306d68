package org.magnoliabridge.gateway;

import java.util.List;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.membership.Rendezvous;

/** Selects the service of a request on a route that is split between several services. */
public final class ServiceChoice {
    private ServiceChoice() {}

    /** Selects a service in proportion to the weights; a request id always maps to the same service. */
    public static ServiceId choose(List<WeightedService> services, String requestId) {
        if (services.size() == 1) {
            return services.getFirst().service();
        }
        long total = services.stream().mapToLong(WeightedService::weight).sum();
        long point = total == 0 ? 0 : Math.floorMod(Rendezvous.hash(requestId), total);
        for (WeightedService candidate : services) {
            point -= candidate.weight();
            if (point < 0) {
                return candidate.service();
            }
        }
        return services.getLast().service();
    }
}
