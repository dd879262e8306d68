package org.magnoliabridge.batch;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.routing.Endpoint;

/**
 * An engine that items may be assigned to.
 *
 * @param slots number of items that it runs concurrently
 * @param weights the loaded weight version of each model
 * @param loading the models whose weights it is loading, which pauses their runs but not those of other models
 */
public record EngineState(Endpoint endpoint, int slots, Map<ModelId, WeightVersion> weights, Set<ModelId> loading) {
    public EngineState {
        Objects.requireNonNull(endpoint);
        weights = Map.copyOf(weights);
        loading = Set.copyOf(loading);
    }

    /** Returns the loaded weight version of a model, if known. */
    Optional<WeightVersion> version(ModelId model) {
        return Optional.ofNullable(weights.get(model));
    }

    /** Returns whether a load of weights pauses the runs of a batch. */
    boolean isLoadingFor(BatchHead batch) {
        return batch.model().map(loading::contains).orElse(!loading.isEmpty());
    }

    /** Returns whether the loaded weights are known to be too old for a batch. */
    boolean tooOldFor(BatchHead batch) {
        return batch.model().flatMap(this::version).map(v -> !batch.accepts(v)).orElse(false);
    }
}
