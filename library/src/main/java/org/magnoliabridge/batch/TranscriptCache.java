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
    // A fraction of the heap of a small node, about 120 MB.
    static final long MAX_CHARS = 16 << 20;

    private final Map<ItemId, Entry> entries = new LinkedHashMap<>();
    private long chars;

    private record Entry(BatchItem item, Transcript transcript, long atMs, long chars) {}

    /** Caches an item with its text so far, and evicts expired and excess entries. */
    void put(long nowMs, BatchItem item, Transcript transcript) {
        Entry entry = new Entry(item, transcript, nowMs, transcript.chars());
        Entry before = entries.remove(item.id());
        entries.put(item.id(), entry);
        chars += entry.chars() - (before == null ? 0 : before.chars());
        Iterator<Entry> entriesByAge = entries.values().iterator();
        while (entriesByAge.hasNext()) {
            Entry eldest = entriesByAge.next();
            boolean fits = entries.size() <= MAX_ITEMS && chars <= MAX_CHARS;
            if (fits && nowMs - eldest.atMs() <= TTL_MS) {
                return;
            }
            entriesByAge.remove();
            chars -= eldest.chars();
        }
    }

    /** Returns the total length of the cached texts. */
    long chars() {
        return chars;
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
