package org.magnoliabridge.batch;

import java.util.Objects;
import org.magnoliabridge.routing.Endpoint;

/**
 * One run of an item.
 *
 * @param lastEvent number of the event after which the engine resumes; 0 to start from the beginning
 * @param limitMs maximum duration of the run
 */
public record ItemRun(ItemRunId id, BatchHead batch, BatchItem item, Endpoint endpoint, long lastEvent, long limitMs) {
    public ItemRun {
        Objects.requireNonNull(id);
        Objects.requireNonNull(batch);
        Objects.requireNonNull(item);
        Objects.requireNonNull(endpoint);
    }
}
