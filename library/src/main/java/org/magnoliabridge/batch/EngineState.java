package org.magnoliabridge.batch;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.routing.Endpoint;

/**
 * An engine that may get items.
 *
 * @param slots items that it runs at the same time
 * @param weights the version of each model that it holds
 * @param loading whether it loads weights, so that its runs pause
 */
public record EngineState(Endpoint endpoint, int slots, Map<ModelId, WeightVersion> weights, boolean loading) {
    public EngineState {
        Objects.requireNonNull(endpoint);
        weights = Map.copyOf(weights);
    }

    /** Returns the version of a model that it holds, if that is known. */
    Optional<WeightVersion> version(ModelId model) {
        return Optional.ofNullable(weights.get(model));
    }

    /** Returns whether its weights are known to be too old for a batch. */
    boolean tooOldFor(BatchHead batch) {
        return batch.model().flatMap(this::version).map(v -> !batch.accepts(v)).orElse(false);
    }
}
