package org.magnoliabridge.daemon;

import java.util.List;
import org.magnoliabridge.batch.BatchHead;
import org.magnoliabridge.batch.BatchItem;
import org.magnoliabridge.batch.ReadAnswer;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.TeamId;

/** Accepts, reads and ends batches at any node. Calls block, so they are made from traffic threads only. */
public interface BatchService {
    /** The outcome of a submission. */
    enum Submission {
        /** The batch is stored durably. */
        ACCEPTED,
        /** The batch was not accepted, and no part of it runs. */
        NOT_ACCEPTED,
        /** The batch may or may not have been accepted. */
        UNKNOWN,
        /** The id belongs to a batch of another team. */
        CONFLICT
    }

    /**
     * Accepts a batch; gives up at a deadline on the node's monotonic clock, or when the thread is interrupted.
     *
     * @param done called on any thread once the items are no longer needed for the submission, whatever its outcome
     */
    Submission submit(BatchHead head, List<BatchItem> items, long deadlineMs, Runnable done);

    /** Returns the results after a position; if there are none yet, waits up to {@code waitMs} for one. */
    ReadAnswer read(BatchId batch, TeamId team, int after, long waitMs) throws InterruptedException;

    /** Returns the body of an item that has no result. */
    ReadAnswer body(BatchId batch, TeamId team, ItemId item) throws InterruptedException;

    /** Ends a batch; gives up at a deadline. The batch keeps the results that were committed before its end. */
    ReadAnswer end(BatchId batch, TeamId team, long deadlineMs) throws InterruptedException;
}
