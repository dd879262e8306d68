package org.magnoliabridge.gateway;

import java.util.Optional;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.ids.TeamId;

/** The decision on a request before any of it is sent on. */
public sealed interface Admission {
    /**
     * The request may be served.
     *
     * @param team the team that holds the key; empty on an open route
     * @param priority of the team or the route, 0 is the highest
     * @param configVersion the configuration that allowed it
     */
    record Allowed(GatewayRoute route, Optional<TeamId> team, int priority, long configVersion) implements Admission {}

    /** The request is refused and has not run. */
    record Refused(Failure failure, long configVersion) implements Admission {}
}
