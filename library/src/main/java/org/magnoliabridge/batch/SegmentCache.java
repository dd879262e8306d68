package org.magnoliabridge.batch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliabridge.external.ObjectKey;

/**
 * Caches the results of segments that this node has read from the store; a stored segment never changes. Thread-safe.
 *
 * <p>Load pattern: after a change of the runner, trainers and their monitors keep reading batches that ended before it.
 * The new runner does not hold these and answers from the store, again and again, from the first segment on.
 */
final class SegmentCache {
    // A fraction of the heap of a small node, about 120 MB.
    static final long MAX_CHARS = 4 << 20;

    // In order of their last use.
    private final Map<ObjectKey, List<ItemResult>> segments = new LinkedHashMap<>(16, 0.75f, true);
    private long chars;

    /** Returns the results of a segment, if it is cached. */
    synchronized Optional<List<ItemResult>> find(ObjectKey key) {
        return Optional.ofNullable(segments.get(key));
    }

    /** Caches the results of a segment, and evicts those that were not used for the longest time. */
    synchronized void put(ObjectKey key, List<ItemResult> results) {
        if (segments.putIfAbsent(key, List.copyOf(results)) == null) {
            chars += chars(results);
        }
        Iterator<List<ItemResult>> eldest = segments.values().iterator();
        while (chars > MAX_CHARS && eldest.hasNext()) {
            chars -= chars(eldest.next());
            eldest.remove();
        }
    }

    /** Returns the total length of the cached texts. */
    synchronized long chars() {
        return chars;
    }

    private static long chars(List<ItemResult> results) {
        return results.stream().mapToLong(r -> r.text().length()).sum();
    }
}
