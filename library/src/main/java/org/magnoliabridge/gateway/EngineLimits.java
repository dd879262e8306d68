package org.magnoliabridge.gateway;

import java.util.List;
import org.magnoliabridge.ids.ModelId;

/**
 * Capacity of each engine of a model service.
 *
 * @param slots maximum number of requests in one running batch
 * @param cacheTokens maximum number of prompt and output tokens in memory
 * @param tokensPerEvent number of tokens in one event of a stream
 */
public record EngineLimits(int slots, long cacheTokens, int tokensPerEvent, List<ModelId> models) {
    public EngineLimits {
        models = List.copyOf(models);
    }
}
