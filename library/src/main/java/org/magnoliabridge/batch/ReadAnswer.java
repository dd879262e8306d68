package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.List;

/** The answer to a read of a batch. */
public sealed interface ReadAnswer {
    /**
     * Results from a position on.
     *
     * @param total number of items of the batch
     */
    record Results(int total, List<ItemResult> results) implements ReadAnswer {
        // An answer is limited to 1 MB; JSON escapes make a text longer, and other fields need space as well.
        private static final int MAX_CHARS = 400_000;

        public Results {
            results = List.copyOf(results);
        }

        /** Returns the results from a position on that fit into one answer; at least one if there is one. */
        public static Results page(int total, List<ItemResult> committed, int after) {
            List<ItemResult> page = new ArrayList<>();
            int chars = 0;
            for (int i = Math.max(0, after); i < committed.size(); i++) {
                chars += committed.get(i).text().length();
                if (!page.isEmpty() && chars > MAX_CHARS) {
                    break;
                }
                page.add(committed.get(i));
            }
            return new Results(total, page);
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
