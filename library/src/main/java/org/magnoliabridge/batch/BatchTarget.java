package org.magnoliabridge.batch;

import java.util.Objects;
import org.magnoliabridge.ids.ServiceId;

/**
 * Where the items of a route run.
 *
 * @param tokensPerEvent output tokens in one event of a text
 * @param cacheTokens tokens of running items that one engine holds
 */
public record BatchTarget(ServiceId service, int tokensPerEvent, long cacheTokens) {
    public BatchTarget {
        Objects.requireNonNull(service);
        if (tokensPerEvent < 1 || cacheTokens < 1) {
            throw new IllegalArgumentException("an event and an engine hold at least one token");
        }
    }

    /** Returns the number of events that a trainer expects of an item; 0 if it expects nothing. */
    long expectedEvents(BatchItem item) {
        return (item.expectedTokens() + tokensPerEvent - 1) / tokensPerEvent;
    }
}
