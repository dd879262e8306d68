package org.magnoliabridge.batch;

import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ItemId;

/** A decision about a batch or an item, for the log. */
public sealed interface BatchEvent {
    /** The batch of the decision. */
    BatchId batch();

    /** A batch was opened at this node; {@code started} counts the items with a text from an earlier batch. */
    record Opened(BatchId batch, int items, int itemsWithText, boolean newlyAccepted) implements BatchEvent {}

    /** A batch has ended here; {@code listed} of its items have a result. */
    record Closed(BatchId batch, int committed, int items, String reason) implements BatchEvent {}

    /** An item was sent to an engine. */
    record Placed(BatchId batch, ItemId item, EndpointId endpoint, long lastEvent, long expectedTokens, int waiting)
            implements BatchEvent {}

    /** A run of an item ended. */
    record RunEnded(BatchId batch, ItemId item, EndpointId endpoint, String outcome, long lastEvent, long tookMs)
            implements BatchEvent {}

    /** A run is moved to another engine, or went on for a later batch. */
    record Migrated(BatchId batch, ItemId item, EndpointId endpoint, String reason) implements BatchEvent {}

    /** An item was given up. */
    record GivenUp(BatchId batch, ItemId item, String reason) implements BatchEvent {}

    /** Items go on with texts that an earlier runner has stored, at once or after a claim has kept that one off. */
    record TextsTakenOver(BatchId batch, int items, boolean claimed) implements BatchEvent {}

    /** Another runner has claimed the texts in progress, so the runs here are stopped. */
    record TextClaimLost(BatchId batch) implements BatchEvent {}

    /** Results got their positions. */
    record Committed(BatchId batch, int committed, int items) implements BatchEvent {}
}
