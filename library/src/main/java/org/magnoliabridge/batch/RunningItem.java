package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.ids.EndpointId;

/** An item of an open batch and what has happened to it so far. */
final class RunningItem {
    final BatchItem item;
    final int position;
    final boolean carriedOver;
    Transcript transcript;
    Optional<ItemRunId> run = Optional.empty();
    int failures;
    boolean finished;
    // Goes on with the text of an earlier runner, once that one is known to have stopped.
    boolean awaitingFence;
    // The events of the present run so far.
    final List<Transcript.Event> runEvents = new ArrayList<>();
    long notBeforeMs = Long.MIN_VALUE;
    // Engines at which the last runs did not succeed; the item goes elsewhere while there is another one.
    final Set<EndpointId> avoidedEngines = new HashSet<>();

    /**
     * Creates an item that waits for its first run.
     *
     * @param position in the batch, counted from 0
     * @param carried whether it was part of an earlier batch
     * @param transcript what an earlier batch has left
     */
    RunningItem(BatchItem item, int position, boolean carried, Transcript transcript) {
        this.item = Objects.requireNonNull(item);
        this.position = position;
        this.carriedOver = carried;
        this.transcript = Objects.requireNonNull(transcript);
    }

    boolean isReady(long nowMs) {
        return !finished && !awaitingFence && run.isEmpty() && nowMs >= notBeforeMs;
    }

    /** Returns all events that are known of the item, those of its present run included. */
    List<Transcript.Event> allEvents() {
        List<Transcript.Event> all = new ArrayList<>(transcript.events());
        all.addAll(runEvents);
        return all;
    }

    /** Returns the number of events that are still expected; an item that has passed the estimate may go on. */
    long eventsLeft(BatchTarget target) {
        long done = transcript.lastEvent();
        return Math.max(target.expectedEvents(item) - done, 1 + done / 4);
    }
}
