package org.magnoliabridge.daemon;

import java.util.List;
import org.magnoliabridge.batch.BatchHead;
import org.magnoliabridge.batch.BatchItem;
import org.magnoliabridge.batch.ReadAnswer;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.TeamId;

/** Takes, reads and ends batches at any node; calls block, so they are made from traffic threads. */
public interface BatchService {
    /** What became of a submission. */
    enum Submission {
        /** The batch is kept from now on. */
        ACCEPTED,
        /** No part of the batch runs. */
        NOT_ACCEPTED,
        /** The batch may have been accepted. */
        UNKNOWN,
        /** A batch of another team has this id. */
        CONFLICT
    }

    /** Accepts a batch, by a deadline of the node's monotonic clock at the latest. */
    Submission submit(BatchHead head, List<BatchItem> items, long deadlineMs) throws InterruptedException;

    /** Returns results from a position on, waiting for one for some time. */
    ReadAnswer read(BatchId batch, TeamId team, int after, long waitMs) throws InterruptedException;

    /** Returns the body of an item that has no result. */
    ReadAnswer body(BatchId batch, TeamId team, ItemId item) throws InterruptedException;

    /** Ends a batch, by a deadline at the latest; the results are those that are listed then. */
    ReadAnswer end(BatchId batch, TeamId team, long deadlineMs) throws InterruptedException;
}
