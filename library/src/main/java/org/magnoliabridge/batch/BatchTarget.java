package org.magnoliabridge.batch;

import java.util.Objects;
import org.magnoliabridge.ids.ServiceId;

/**
 * Where the items of a route run.
 *
 * @param tokensPerEvent output tokens per event of a text
 * @param cacheTokens tokens of running items that fit into the cache of one engine
 */
public record BatchTarget(ServiceId service, int tokensPerEvent, long cacheTokens) {
    public BatchTarget {
        Objects.requireNonNull(service);
        if (tokensPerEvent < 1 || cacheTokens < 1) {
            throw new IllegalArgumentException(
                    "tokensPerEvent and cacheTokens must be at least 1, got " + tokensPerEvent + " and " + cacheTokens);
        }
    }

    /** Returns the number of events that the trainer expects for an item; 0 if it gives no estimate. */
    long expectedEvents(BatchItem item) {
        return (item.expectedTokens() + tokensPerEvent - 1) / tokensPerEvent;
    }
}
