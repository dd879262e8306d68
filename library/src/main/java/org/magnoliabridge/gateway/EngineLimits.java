package org.magnoliabridge.gateway;

import java.util.List;
import org.magnoliabridge.ids.ModelId;

/**
 * What each engine of a model service can hold.
 *
 * @param slots requests in one running batch
 * @param cacheTokens prompt and output tokens in memory
 * @param tokensPerEvent tokens in one event of a stream
 */
public record EngineLimits(int slots, long cacheTokens, int tokensPerEvent, List<ModelId> models) {
    public EngineLimits {
        models = List.copyOf(models);
    }
}
