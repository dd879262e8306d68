package org.magnoliabridge.batch;

import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.ids.BatchId;

/** The object store keys of a batch. */
public final class BatchKeys {
    /** Prefix of all heads. */
    public static final String HEADS = "batches";

    private static final String ITEMS = "batch-items";
    private static final String RESULTS = "batch-results";

    private BatchKeys() {}

    /** Returns the key of a head. */
    public static ObjectKey head(BatchId batch) {
        return new ObjectKey(HEADS + "/" + batch);
    }

    /** Returns the key of a part of the items, counted from 0. */
    public static ObjectKey items(BatchId batch, int part) {
        return new ObjectKey(ITEMS + "/" + batch + "." + part);
    }

    /** Returns the key of a segment of the results, counted from 0. */
    public static ObjectKey results(BatchId batch, int segment) {
        return new ObjectKey(RESULTS + "/" + batch + "." + segment);
    }

    /** Returns a key that precedes those of all segments of a batch and follows those of the batches before it. */
    static ObjectKey beforeResults(BatchId batch) {
        return new ObjectKey(RESULTS + "/" + batch + ".");
    }

    /** Returns whether a key is that of a segment of a batch. */
    static boolean isResultsOf(BatchId batch, ObjectKey key) {
        return key.value().startsWith(beforeResults(batch).value());
    }
}
