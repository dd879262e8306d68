package org.magnoliabridge.batch;

import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.routing.Endpoint;

/** A run of an item at an engine. */
final class Run {
    final ItemRunId id;
    final Endpoint endpoint;
    final EndpointId engine;
    final long startedMs;
    final long reservedTokens;
    final Optional<WeightVersion> version;
    RunningBatch batch;
    RunningItem item;
    boolean stopping;
    int events;
    long lastProgressMs;

    /**
     * Creates a run.
     *
     * @param reservedTokens tokens that the item is expected to hold at the engine
     * @param version the weight version that the engine is known to have loaded
     */
    Run(
            ItemRunId id,
            RunningBatch batch,
            RunningItem item,
            Endpoint endpoint,
            long startedMs,
            long reservedTokens,
            Optional<WeightVersion> version) {
        this.id = Objects.requireNonNull(id);
        this.batch = Objects.requireNonNull(batch);
        this.item = Objects.requireNonNull(item);
        this.endpoint = Objects.requireNonNull(endpoint);
        this.engine = endpoint.id();
        this.startedMs = startedMs;
        this.lastProgressMs = startedMs;
        this.reservedTokens = reservedTokens;
        this.version = version;
    }

    /** Returns the number of events that are still expected from the run; at least 1. */
    long eventsLeft(BatchTarget target) {
        return Math.max(1, item.eventsLeft(target) - events);
    }
}
