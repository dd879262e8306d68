package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.magnoliabridge.ids.ItemId;

/** The results of the segments of a log in the order of their positions; a second result of an item has none. */
final class CommittedResults {
    private final List<ItemResult> results = new ArrayList<>();
    private final Set<ItemId> items = new HashSet<>();
    private long chars;

    /** Adds the results of the next segment. */
    void add(List<ItemResult> segment) {
        for (ItemResult result : segment) {
            if (items.add(result.item())) {
                results.add(result);
                chars += result.text().length();
            }
        }
    }

    List<ItemResult> list() {
        return results;
    }

    boolean contains(ItemId item) {
        return items.contains(item);
    }

    /** Returns the total length of the texts. */
    long chars() {
        return chars;
    }
}
