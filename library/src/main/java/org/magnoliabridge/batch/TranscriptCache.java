package org.magnoliabridge.batch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.magnoliabridge.ids.ItemId;

/**
 * Caches the texts of items for later batches.
 *
 * <p>Load pattern: a trainer continues when most groups are complete, and resubmits the other groups in a later batch
 * with the same ids. Their texts are cached, so that the longest items do not start over.
 */
final class TranscriptCache {
    // A group is resubmitted with the next step or not at all; steps follow each other within seconds.
    private static final long TTL_MS = 60_000;
    private static final int MAX_ITEMS = 4_096;

    private final Map<ItemId, Entry> entries = new LinkedHashMap<>();

    private record Entry(BatchItem item, Transcript transcript, long atMs) {}

    /** Caches an item with its text so far, and evicts expired and excess entries. */
    void put(long nowMs, BatchItem item, Transcript transcript) {
        entries.remove(item.id());
        entries.put(item.id(), new Entry(item, transcript, nowMs));
        Iterator<Entry> eldest = entries.values().iterator();
        while (eldest.hasNext()) {
            Entry entry = eldest.next();
            if (entries.size() <= MAX_ITEMS && nowMs - entry.atMs() <= TTL_MS) {
                return;
            }
            eldest.remove();
        }
    }

    /** Returns whether an item was part of an earlier batch. */
    boolean contains(BatchItem item) {
        Entry entry = entries.get(item.id());
        return entry != null && entry.item().sameRequest(item);
    }

    /** Returns the text that a batch may resume an item from; empty if there is no usable one. */
    Transcript find(BatchHead batch, BatchItem item) {
        return contains(item) && entries.get(item.id()).transcript().isUsableFor(batch)
                ? entries.get(item.id()).transcript()
                : Transcript.EMPTY;
    }
}
