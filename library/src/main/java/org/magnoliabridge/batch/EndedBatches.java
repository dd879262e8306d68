package org.magnoliabridge.batch;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The batches that are known to have ended most recently; a batch that has ended is never open again.
 *
 * @param <K> what identifies a batch
 */
final class EndedBatches<K> {
    // At six trainers that end a batch every second, over ten minutes: far longer than an offer or a read may be late.
    private static final int MAX_BATCHES = 4_096;

    private final Set<K> batches = new LinkedHashSet<>();

    /** Adds a batch; returns false if it was known. */
    boolean add(K batch) {
        boolean added = batches.add(batch);
        if (batches.size() > MAX_BATCHES) {
            batches.remove(batches.iterator().next());
        }
        return added;
    }

    boolean contains(K batch) {
        return batches.contains(batch);
    }
}
