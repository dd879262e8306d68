package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.routing.Endpoint;

/**
 * An engine that items may be assigned to.
 *
 * @param slots number of items that it runs concurrently
 * @param weights the loaded weight version of each model
 * @param takenOutFor the teams whose items should not go there while another engine can run them
 * @param loading the models whose weights it is loading, which pauses their runs but not those of other models
 */
public record EngineState(
        Endpoint endpoint,
        int slots,
        Map<ModelId, WeightVersion> weights,
        Set<TeamId> takenOutFor,
        Set<ModelId> loading) {
    public EngineState {
        Objects.requireNonNull(endpoint);
        weights = Map.copyOf(weights);
        takenOutFor = Set.copyOf(takenOutFor);
        loading = Set.copyOf(loading);
    }

    /** Creates the state of an engine that all teams may use. */
    public EngineState(Endpoint endpoint, int slots, Map<ModelId, WeightVersion> weights, Set<ModelId> loading) {
        this(endpoint, slots, weights, Set.of(), loading);
    }

    /** Returns the engines that are not taken out for a team; all engines if there is no other. */
    static List<EngineState> forTeam(List<EngineState> engines, TeamId team) {
        List<EngineState> allowed = new ArrayList<>();
        for (EngineState engine : engines) {
            if (!engine.takenOutFor().contains(team)) {
                allowed.add(engine);
            }
        }
        return allowed.isEmpty() ? engines : allowed;
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
