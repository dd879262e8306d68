package org.magnoliabridge.batch;

import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.RequestId;

/** A log event about a batch or an item. */
public sealed interface BatchEvent {
    /** Returns the batch that the event is about. */
    BatchId batch();

    /** A batch was opened at this node; {@code itemsWithText} of its items have text from an earlier batch. */
    record Opened(BatchId batch, int items, int itemsWithText, boolean newlyAccepted) implements BatchEvent {}

    /** This node no longer runs a batch; the results of {@code committed} of its items are committed. */
    record Closed(BatchId batch, int committed, int items, String reason) implements BatchEvent {}

    /**
     * A run of an item was started at an engine.
     *
     * @param lastEvent number of the event after which the run continues the text; 0 if it generates the text anew
     * @param waiting number of items of the batch that come later in the start order
     */
    record Placed(BatchId batch, ItemId item, EndpointId endpoint, long lastEvent, long expectedTokens, int waiting)
            implements BatchEvent {}

    /** A run of an item ended. */
    record RunEnded(BatchId batch, ItemId item, EndpointId endpoint, String outcome, long lastEvent, long tookMs)
            implements BatchEvent {}

    /**
     * The score of an item's complete text was requested.
     *
     * @param waitedMs time since the text was complete
     */
    record ScoreRequested(BatchId batch, ItemId item, RequestId request, EndpointId endpoint, long waitedMs)
            implements BatchEvent {}

    /** A call for a score ended. */
    record ScoreEnded(BatchId batch, ItemId item, EndpointId endpoint, String outcome, long tookMs)
            implements BatchEvent {}

    /** A run is stopped so that its item continues at another engine, or the run continues for a later batch. */
    record Migrated(BatchId batch, ItemId item, EndpointId endpoint, String reason) implements BatchEvent {}

    /** An item was given up. */
    record GivenUp(BatchId batch, ItemId item, String reason) implements BatchEvent {}

    /**
     * Items resume from texts that an earlier runner stored.
     *
     * @param claimed whether this runner must store its claim to the texts before it resumes them
     */
    record TextsTakenOver(BatchId batch, int items, boolean claimed) implements BatchEvent {}

    /** Another runner has claimed the partial texts of the batch, so the runs at this node are stopped. */
    record TextClaimLost(BatchId batch) implements BatchEvent {}

    /** Results were committed; those of {@code committed} items of the batch are committed in total. */
    record Committed(BatchId batch, int committed, int items) implements BatchEvent {}
}
