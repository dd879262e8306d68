package org.magnoliabridge.routing;

import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.calls.EndpointSource.Observation;
import org.magnoliabridge.ids.TeamId;

/**
 * A change of an endpoint's state that is not caused by the instance list.
 *
 * @param observation the observation that caused the change; empty at the end of a back-off
 * @param team the only team that the change affects; empty if it affects all
 * @param faults the number of faults in a row up to the change
 * @param backOffMs how long the endpoint receives no requests; 0 unless it has failed
 */
public record EndpointChange(
        Endpoint endpoint,
        EndpointState state,
        Optional<Observation> observation,
        Optional<TeamId> team,
        int faults,
        long backOffMs) {
    public EndpointChange {
        Objects.requireNonNull(endpoint);
        Objects.requireNonNull(state);
        Objects.requireNonNull(observation);
        Objects.requireNonNull(team);
    }
}
