package org.magnoliabridge.batch;

import java.util.List;

/** Collects the results of one answer from the segments of a log, which are added in order. */
final class StoredPage {
    private final int total;
    private final int after;
    private final CommittedResults results = new CommittedResults();
    private long bytes;

    /**
     * Creates an empty page.
     *
     * @param total number of items of the batch
     * @param after position of the first result of the page
     */
    StoredPage(int total, int after) {
        this.total = total;
        this.after = Math.max(0, after);
    }

    /** Adds the results of the next segment. */
    void add(List<ItemResult> segment) {
        int before = Math.max(after, results.list().size());
        results.add(segment);
        List<ItemResult> all = results.list();
        for (int i = before; i < all.size(); i++) {
            bytes += JsonSize.of(all.get(i));
        }
    }

    /** Returns whether further segments cannot add to the answer. */
    boolean isFull() {
        return results.list().size() >= total || bytes > JsonSize.MAX_BYTES;
    }

    /** Returns whether there is no result at the position yet. */
    boolean isEmpty() {
        return results.list().size() <= after;
    }

    ReadAnswer.Results answer() {
        return ReadAnswer.Results.page(total, results.list(), after);
    }
}
