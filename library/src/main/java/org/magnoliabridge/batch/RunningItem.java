package org.magnoliabridge.batch;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.ids.EndpointId;

/** An item of an open batch and what has happened to it so far. */
final class RunningItem {
    final BatchItem item;
    final int position;
    Transcript transcript;
    Optional<ItemRunId> run = Optional.empty();
    int failures;
    boolean finished;
    long notBeforeMs = Long.MIN_VALUE;
    // Engines at which the last runs did not succeed; the item goes elsewhere while there is another one.
    final Set<EndpointId> avoided = new HashSet<>();

    /**
     * Creates an item that waits for its first run.
     *
     * @param position in the batch, counted from 0
     * @param transcript what an earlier batch has left
     */
    RunningItem(BatchItem item, int position, Transcript transcript) {
        this.item = Objects.requireNonNull(item);
        this.position = position;
        this.transcript = Objects.requireNonNull(transcript);
    }

    boolean waits(long nowMs) {
        return !finished && run.isEmpty() && nowMs >= notBeforeMs;
    }
}
