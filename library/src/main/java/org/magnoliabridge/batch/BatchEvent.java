package org.magnoliabridge.batch;

import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ItemId;

/** A log event about a batch or an item. */
public sealed interface BatchEvent {
    /** Returns the batch that the event is about. */
    BatchId batch();

    /** A batch was opened at this node; {@code itemsWithText} counts the items with text from an earlier batch. */
    record Opened(BatchId batch, int items, int itemsWithText, boolean newlyAccepted) implements BatchEvent {}

    /** This node no longer runs a batch; {@code committed} of its items have a result. */
    record Closed(BatchId batch, int committed, int items, String reason) implements BatchEvent {}

    /** An item was sent to an engine. */
    record Placed(BatchId batch, ItemId item, EndpointId endpoint, long lastEvent, long expectedTokens, int waiting)
            implements BatchEvent {}

    /** A run of an item ended. */
    record RunEnded(BatchId batch, ItemId item, EndpointId endpoint, String outcome, long lastEvent, long tookMs)
            implements BatchEvent {}

    /** A run is stopped to continue at another engine, or continues for a later batch. */
    record Migrated(BatchId batch, ItemId item, EndpointId endpoint, String reason) implements BatchEvent {}

    /** An item was given up. */
    record GivenUp(BatchId batch, ItemId item, String reason) implements BatchEvent {}

    /** Items resume from texts that an earlier runner stored, after a claim to the texts if {@code claimed}. */
    record TextsTakenOver(BatchId batch, int items, boolean claimed) implements BatchEvent {}

    /** Another runner has claimed the texts in progress, so the runs at this node are stopped. */
    record TextClaimLost(BatchId batch) implements BatchEvent {}

    /** Results were committed; {@code committed} of the batch's items have a result now. */
    record Committed(BatchId batch, int committed, int items) implements BatchEvent {}
}
