package org.magnoliabridge.gateway;

import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.gateway.TeamKeys.TeamAccess;

/**
 * Selects the route of a request and checks its key, according to one version of the configuration.
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

    /** Returns the configuration that this policy is based on. */
    public GatewayConfig config() {
        return config;
    }

    public RouteTable routes() {
        return table;
    }

    /** Selects the route of a request and decides whether it may be forwarded. */
    public Admission admit(String host, String path, Optional<String> key) {
        Optional<GatewayRoute> route = table.find(host, path);
        if (route.isEmpty()) {
            return new Admission.Refused(new Failure.NotFound("the route"), config.version());
        }
        return admit(route.get(), key);
    }

    /** Decides whether a request on the given route may be forwarded. */
    public Admission admit(GatewayRoute route, Optional<String> key) {
        Optional<TeamAccess> team = team(key);
        if (team.isEmpty() && !route.open() && config.keys().isPresent()) {
            return new Admission.Refused(new Failure.Unauthenticated(), config.version());
        }
        int priority = team.map(t -> t.priority().orElse(route.priority())).orElse(route.priority());
        return new Admission.Allowed(route, team.map(TeamAccess::team), priority, config.version());
    }

    /** Returns the team that holds a key, or empty if there is no key or no team holds it. */
    public Optional<TeamAccess> team(Optional<String> key) {
        return config.keys().flatMap(keys -> key.flatMap(keys::find));
    }
}
