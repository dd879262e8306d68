package org.magnoliabridge.daemon;

import java.util.HashMap;
import java.util.Map;
import org.magnoliabridge.fleet.FleetEndpoint;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.routing.Endpoint;

/**
 * The newest known weights of each endpoint, from the endpoint list and from its own reports; control thread only.
 *
 * <p>The list lags by a heartbeat and a poll, so an engine's own report is often newer. Within an incarnation the newer
 * version of the two holds, because orders carry the number of accepted orders and so never return an engine to older
 * weights.
 */
final class KnownWeights {
    private final Map<Endpoint, Map<ModelId, WeightVersion>> recordReport = new HashMap<>();

    /** Records an endpoint's own report. */
    void recordReport(Endpoint endpoint, Map<ModelId, WeightVersion> weights) {
        recordReport.put(endpoint, Map.copyOf(weights));
    }

    /** Returns the weights of an endpoint. */
    Map<ModelId, WeightVersion> of(FleetEndpoint endpoint) {
        Map<ModelId, WeightVersion> reported = recordReport.get(endpoint.endpoint());
        if (reported == null) {
            return endpoint.weights();
        }
        Map<ModelId, WeightVersion> weights = new HashMap<>(endpoint.weights());
        reported.forEach((model, version) -> weights.merge(model, version, (a, b) -> a.isAfter(b) ? a : b));
        return weights;
    }

    /** Removes the reports of endpoints that are no longer in the list. */
    void retain(Iterable<FleetEndpoint> fleet) {
        Map<Endpoint, Map<ModelId, WeightVersion>> kept = new HashMap<>();
        for (FleetEndpoint e : fleet) {
            if (recordReport.containsKey(e.endpoint())) {
                kept.put(e.endpoint(), recordReport.get(e.endpoint()));
            }
        }
        recordReport.clear();
        recordReport.putAll(kept);
    }
}
