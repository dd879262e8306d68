package org.magnoliabridge.gateway;

import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.gateway.TeamKeys.TeamAccess;

/**
 * Decides by one configuration which route a request takes and whether its key allows it.
 *
 * <pre>{@code
 * Admission admission = new AdmissionPolicy(config).admit(host, path, key);
 * }</pre>
 */
public final class AdmissionPolicy {
    private final GatewayConfig config;
    private final RouteTable table;

    public AdmissionPolicy(GatewayConfig config) {
        this.config = Objects.requireNonNull(config);
        this.table = new RouteTable(config.routes());
    }

    /** Returns the configuration that this policy follows. */
    public GatewayConfig config() {
        return config;
    }

    /** Returns the table of routes. */
    public RouteTable routes() {
        return table;
    }

    /** Decides on a request. */
    public Admission admit(String host, String path, Optional<String> key) {
        Optional<GatewayRoute> route = table.find(host, path);
        if (route.isEmpty()) {
            return new Admission.Refused(new Failure.NotFound("the route"), config.version());
        }
        return admit(route.get(), key);
    }

    /** Decides on a request whose route is known. */
    public Admission admit(GatewayRoute route, Optional<String> key) {
        Optional<TeamAccess> team = team(key);
        if (team.isEmpty() && !route.open() && config.keys().isPresent()) {
            return new Admission.Refused(new Failure.Unauthenticated(), config.version());
        }
        int priority = team.map(t -> t.priority().orElse(route.priority())).orElse(route.priority());
        return new Admission.Allowed(route, team.map(TeamAccess::team), priority, config.version());
    }

    /** Returns the team that holds a key. */
    public Optional<TeamAccess> team(Optional<String> key) {
        return config.keys().flatMap(keys -> key.flatMap(keys::find));
    }
}
