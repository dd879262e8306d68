package org.magnoliabridge.batch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.magnoliabridge.ids.ItemId;

/**
 * Texts of items whose batch has ended.
 *
 * <p>Load pattern: a trainer goes on when most groups are complete, and asks for the stragglers again in a later batch
 * under the same ids. Their texts are kept for that, so that the longest items do not start over.
 */
final class TranscriptBank {
    // A group returns with the next step or not at all; steps follow each other within seconds.
    private static final long KEPT_MS = 60_000;
    private static final int MAX_ITEMS = 4_096;

    private final Map<ItemId, Kept> kept = new LinkedHashMap<>();

    private record Kept(BatchItem item, Transcript transcript, long atMs) {}

    /** Keeps an item with what is known of its text. */
    void keep(long nowMs, BatchItem item, Transcript transcript) {
        kept.remove(item.id());
        kept.put(item.id(), new Kept(item, transcript, nowMs));
        Iterator<Kept> eldest = kept.values().iterator();
        while (eldest.hasNext()) {
            Kept entry = eldest.next();
            if (kept.size() <= MAX_ITEMS && nowMs - entry.atMs() <= KEPT_MS) {
                return;
            }
            eldest.remove();
        }
    }

    /** Returns whether an item was part of an earlier batch. */
    boolean knows(BatchItem item) {
        Kept entry = kept.get(item.id());
        return entry != null && entry.item().sameRequest(item);
    }

    /** Returns the text that a batch may start an item with; empty if there is none that fits. */
    Transcript find(BatchHead batch, BatchItem item) {
        return knows(item) && kept.get(item.id()).transcript().fits(batch)
                ? kept.get(item.id()).transcript()
                : Transcript.EMPTY;
    }
}
