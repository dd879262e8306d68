package org.magnoliabridge.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request: of the routes for its host, the one with the longest matching path prefix. */
public final class RouteTable {
    private final Map<String, List<GatewayRoute>> byHost = new HashMap<>();

    public RouteTable(List<GatewayRoute> routes) {
        routes.forEach(
                r -> byHost.computeIfAbsent(r.host(), host -> new ArrayList<>()).add(r));
        Comparator<GatewayRoute> longestFirst =
                Comparator.comparingInt((GatewayRoute r) -> r.prefix().length()).reversed();
        byHost.values().forEach(list -> list.sort(longestFirst));
    }

    /**
     * Returns the route of a request.
     *
     * @param host host as received from the caller, with or without a port
     * @param path raw path without the query
     */
    public Optional<GatewayRoute> find(String host, String path) {
        return byHost.getOrDefault(normalizeHost(host), List.of()).stream()
                .filter(r -> path.startsWith(r.prefix()))
                .findFirst();
    }

    /** Returns the host in lower case and without its port. */
    public static String normalizeHost(String host) {
        int colon = host.indexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }
}
