package org.magnoliabridge.batch;

import java.util.List;

/** The answer to a read of a batch. */
public sealed interface ReadAnswer {
    /**
     * Results from a position on.
     *
     * @param total number of items of the batch
     */
    record Results(int total, List<ItemResult> results) implements ReadAnswer {
        public Results {
            results = List.copyOf(results);
        }

        /** Returns the results from a position on that fit into one answer; at least one if there is one. */
        public static Results page(int total, List<ItemResult> committed, int after) {
            ResultPage page = new ResultPage(after);
            page.extend(committed);
            return new Results(total, page.results());
        }
    }

    /** The body of an item. */
    @SuppressWarnings("ArrayRecordComponent")
    record Body(byte[] body) implements ReadAnswer {}

    /** The batch, or the item's body, does not exist for this team. */
    record Missing() implements ReadAnswer {}

    /** This node cannot determine the answer. */
    record Unsure() implements ReadAnswer {}
}
