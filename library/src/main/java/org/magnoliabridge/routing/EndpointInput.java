package org.magnoliabridge.routing;

import java.util.List;
import java.util.OptionalInt;
import org.magnoliabridge.calls.EndpointSource;
import org.magnoliabridge.ids.EndpointId;

/** What the endpoint table learns. */
public sealed interface EndpointInput {
    /** A reading of the instance list; it lags, so it never brings back an endpoint that is known to leave. */
    record Listed(List<ListedEndpoint> endpoints) implements EndpointInput {
        public Listed {
            endpoints = List.copyOf(endpoints);
        }
    }

    /** This node has ordered the endpoint to stop. */
    record StopOrdered(EndpointId id) implements EndpointInput {}

    /** Another member saw this incarnation leaving. */
    record LeavingAnnounced(EndpointId id, String address) implements EndpointInput {}

    /** The platform gave notice that it reclaims the endpoint. */
    record ReclaimNotice(EndpointId id) implements EndpointInput {}

    /** What a call of this node saw. */
    record Observed(EndpointId id, String address, EndpointSource.Observation observation) implements EndpointInput {}

    /** Time has passed. */
    record Tick() implements EndpointInput {}

    /**
     * An entry of the instance list.
     *
     * @param slots requests that the endpoint processes at the same time, if the list says it
     */
    record ListedEndpoint(Endpoint endpoint, boolean leaving, OptionalInt slots) {
        /** An entry without a number of slots. */
        public ListedEndpoint(Endpoint endpoint, boolean leaving) {
            this(endpoint, leaving, OptionalInt.empty());
        }
    }
}
