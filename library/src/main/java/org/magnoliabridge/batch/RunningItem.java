package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.calls.FaultAttribution;
import org.magnoliabridge.ids.EndpointId;

/** An item of an open batch and its state. */
final class RunningItem {
    final BatchItem item;
    final int position;
    final boolean carriedOver;
    Transcript transcript;
    Optional<ItemRunId> run = Optional.empty();
    int failures;
    boolean finished;
    // Set while the item waits to resume a text until the earlier runner of that text is known to have stopped.
    boolean awaitingFence;
    // The events of the current run so far.
    final List<Transcript.Event> runEvents = new ArrayList<>();
    long notBeforeMs = Long.MIN_VALUE;
    // What the runs of the item show about their engines.
    final FaultAttribution faults = new FaultAttribution();
    // Engines at which earlier runs did not succeed; used only if no other engine is available.
    final Set<EndpointId> avoidedEngines = new HashSet<>();

    /**
     * Creates an item that waits for its first run.
     *
     * @param position in the batch, counted from 0
     * @param carriedOver whether it was part of an earlier batch
     * @param transcript text from an earlier batch
     */
    RunningItem(BatchItem item, int position, boolean carriedOver, Transcript transcript) {
        this.item = Objects.requireNonNull(item);
        this.position = position;
        this.carriedOver = carriedOver;
        this.transcript = Objects.requireNonNull(transcript);
    }

    boolean isReady(long nowMs) {
        return !finished && !transcript.complete() && !awaitingFence && run.isEmpty() && nowMs >= notBeforeMs;
    }

    /** Returns whether the text is complete and its score is not known. */
    boolean awaitsScore() {
        return !finished && transcript.complete();
    }

    /** Returns all known events of the item, including those of its current run. */
    List<Transcript.Event> allEvents() {
        List<Transcript.Event> all = new ArrayList<>(transcript.events());
        all.addAll(runEvents);
        return all;
    }

    /** Returns the number of all known events of the item. */
    int eventCount() {
        return transcript.events().size() + runEvents.size();
    }

    /** Returns the number of events that are still expected; at least 1 until the text is complete. */
    long eventsLeft(BatchTarget target) {
        if (transcript.complete()) {
            return 0;
        }
        // An item may exceed its estimate.
        long done = transcript.lastEvent();
        return Math.max(target.expectedEvents(item) - done, 1 + done / 4);
    }
}
