package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.List;

/** The results from a position on that fit into one answer; at least one if there is one. */
final class ResultPage {
    private final int after;
    private final List<ItemResult> results = new ArrayList<>();
    private long bytes;

    /** Creates an empty page whose first result has the position {@code after}. */
    ResultPage(int after) {
        this.after = Math.max(0, after);
    }

    /** Adds results that the page does not have yet, from a list of all committed results known so far. */
    void extend(List<ItemResult> committed) {
        for (int i = after + results.size(); i < committed.size() && !isFull(); i++) {
            ItemResult result = committed.get(i);
            bytes += JsonSize.of(result);
            if (results.isEmpty() || !isFull()) {
                results.add(result);
            }
        }
    }

    /** Returns whether no further result fits. */
    boolean isFull() {
        return bytes > JsonSize.MAX_BYTES;
    }

    List<ItemResult> results() {
        return results;
    }
}
