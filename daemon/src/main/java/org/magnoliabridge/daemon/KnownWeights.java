package org.magnoliabridge.daemon;

import java.util.HashMap;
import java.util.Map;
import org.magnoliabridge.fleet.FleetEndpoint;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.routing.Endpoint;

/**
 * The newest weights that are known of each endpoint, from the list and from its own reports; control thread only.
 *
 * <p>The list lags by a heartbeat and a poll, so an engine's own report is often newer. Within an incarnation the newer
 * of both counts, because an order with the number of accepted orders never brings an engine back to older weights.
 */
final class KnownWeights {
    private final Map<Endpoint, Map<ModelId, WeightVersion>> reported = new HashMap<>();

    /** Takes an endpoint's own report. */
    void reported(Endpoint endpoint, Map<ModelId, WeightVersion> weights) {
        reported.put(endpoint, Map.copyOf(weights));
    }

    /** Returns the weights of an endpoint. */
    Map<ModelId, WeightVersion> of(FleetEndpoint endpoint) {
        Map<ModelId, WeightVersion> weights = new HashMap<>(endpoint.weights());
        reported.getOrDefault(endpoint.endpoint(), Map.of())
                .forEach((model, version) -> weights.merge(model, version, (a, b) -> a.isAfter(b) ? a : b));
        return weights;
    }

    /** Forgets endpoints that are gone. */
    void retain(Iterable<FleetEndpoint> fleet) {
        Map<Endpoint, Map<ModelId, WeightVersion>> kept = new HashMap<>();
        for (FleetEndpoint e : fleet) {
            if (reported.containsKey(e.endpoint())) {
                kept.put(e.endpoint(), reported.get(e.endpoint()));
            }
        }
        reported.clear();
        reported.putAll(kept);
    }
}
