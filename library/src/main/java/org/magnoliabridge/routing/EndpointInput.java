package org.magnoliabridge.routing;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.magnoliabridge.calls.EndpointSource;
import org.magnoliabridge.evacuation.Evacuations;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.TeamId;

/** An input of the endpoint table: an event or the passing of time. */
public sealed interface EndpointInput {
    /** The instance list was read. The list lags, so it never makes an endpoint that is leaving eligible again. */
    record Listed(List<ListedEndpoint> endpoints) implements EndpointInput {
        public Listed {
            endpoints = List.copyOf(endpoints);
        }
    }

    /** The evacuations in force; endpoints in an evacuated data centre get no new requests until it ends. */
    record Evacuated(Evacuations evacuations) implements EndpointInput {}

    /** This node has ordered the endpoint to stop. */
    record StopOrdered(EndpointId id) implements EndpointInput {}

    /** Another member has announced that the endpoint at this address is leaving. */
    record LeavingAnnounced(EndpointId id, String address) implements EndpointInput {}

    /** The platform has given notice that it will reclaim the endpoint. */
    record ReclaimNotice(EndpointId id) implements EndpointInput {}

    /**
     * A call from this node has observed the endpoint.
     *
     * @param team the team that the call was made for, if any
     */
    record Observed(EndpointId id, String address, EndpointSource.Observation observation, Optional<TeamId> team)
            implements EndpointInput {
        /** Creates an observation of a call that was made for no team. */
        public Observed(EndpointId id, String address, EndpointSource.Observation observation) {
            this(id, address, observation, Optional.empty());
        }
    }

    /** Ends back-offs and removes old entries, according to the current time. */
    record Tick() implements EndpointInput {}

    /**
     * An entry of the instance list.
     *
     * @param slots number of requests that the endpoint processes concurrently, if the list states it
     */
    record ListedEndpoint(Endpoint endpoint, boolean leaving, OptionalInt slots) {
        /** Creates an entry that states no number of slots. */
        public ListedEndpoint(Endpoint endpoint, boolean leaving) {
            this(endpoint, leaving, OptionalInt.empty());
        }
    }
}
