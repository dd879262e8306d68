package org.magnoliabridge.fleet;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.routing.Endpoint;

/**
 * An endpoint and the state that it reports.
 *
 * @param slots number of requests that it processes concurrently
 * @param draining whether it is being drained and must get no new work
 * @param weights the weight version of each model that it holds
 * @param warmUpMs remaining time of the slow phase after its start
 * @param reclaimable whether the platform may reclaim it, as it does with spot capacity
 * @param shutdownInMs time until it shuts down, if it reports one
 */
public record FleetEndpoint(
        Endpoint endpoint,
        int slots,
        boolean draining,
        Map<ModelId, WeightVersion> weights,
        long warmUpMs,
        boolean reclaimable,
        OptionalLong shutdownInMs) {
    public FleetEndpoint {
        Objects.requireNonNull(endpoint);
        Objects.requireNonNull(shutdownInMs);
        weights = Map.copyOf(weights);
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be at least 1: " + slots);
        }
    }

    /** Returns the weight version of a model, if the endpoint holds the model. */
    public Optional<WeightVersion> version(ModelId model) {
        return Optional.ofNullable(weights.get(model));
    }
}
