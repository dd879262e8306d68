package org.magnoliabridge.gateway;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.ids.RouteId;
import org.magnoliabridge.ids.ServiceId;

/**
 * One version of the configuration; immutable once built.
 *
 * @param version increases with every change
 * @param keys the teams' keys; empty if requests need no key
 */
public record GatewayConfig(
        long version,
        List<GatewayRoute> routes,
        Map<ServiceId, GatewayService> services,
        CallerLimits limits,
        Optional<TeamKeys> keys) {
    public GatewayConfig {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
        Objects.requireNonNull(limits);
        Objects.requireNonNull(keys);
    }

    /** Returns the route with the given id. */
    public Optional<GatewayRoute> route(RouteId id) {
        return routes.stream().filter(r -> r.id().equals(id)).findFirst();
    }
}
