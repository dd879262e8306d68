package org.magnoliabridge.gateway;

import java.util.Optional;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.ids.TeamId;

/** The decision on whether a request may be forwarded. */
public sealed interface Admission {
    /**
     * The request may be forwarded.
     *
     * @param team the team that holds the key; empty on an open route
     * @param priority priority of the team or, if it has none, of the route; 0 is the highest
     * @param configVersion version of the configuration that the decision is based on
     */
    record Allowed(GatewayRoute route, Optional<TeamId> team, int priority, long configVersion) implements Admission {}

    /** The request is refused and was not executed. */
    record Refused(Failure failure, long configVersion) implements Admission {}
}
