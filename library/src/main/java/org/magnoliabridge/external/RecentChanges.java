package org.magnoliabridge.external;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * The changes of a prefix that this process has read from the store since some revision, for other nodes to read.
 *
 * <p>Load pattern: heartbeats change the prefix all the time, so each of many nodes would read it several times a
 * second. Entries whose content is as before, such as those of heartbeats, are left out. Relies on a store that reports
 * every change of a key and not only the last one. Thread-safe.
 */
public final class RecentChanges {
    static final int MAX_KEYS = 2_000;
    private static final long UNKNOWN = -1;

    private final Function<ObjectStore.Entry, ?> content;
    private final Map<ObjectKey, Object> contents = new HashMap<>();
    private final Map<ObjectKey, Change> changes = new HashMap<>();
    private long firstRevision = UNKNOWN;
    private long revision = UNKNOWN;
    private long asOfMs;
    private boolean historyLost;

    /** The last change of a key, and the revision of the read that showed it. */
    private record Change(long seenAtRevision, ObjectStore.Entry entry) {}

    /**
     * Creates an empty record of changes.
     *
     * @param content returns what readers use of an entry; entries with equal content are interchangeable
     */
    public RecentChanges(Function<ObjectStore.Entry, ?> content) {
        this.content = Objects.requireNonNull(content);
    }

    /**
     * Records a complete read of the store.
     *
     * @param asOfMs a time at which the listing was complete
     */
    public void listed(long asOfMs, ObjectStore.Listing all) {
        List<Object> read = contents(all);
        synchronized (this) {
            restartAt(all.revision());
            for (int i = 0; i < read.size(); i++) {
                contents.put(all.entries().get(i).key(), read.get(i));
            }
            recordRead(asOfMs, all.revision());
        }
    }

    /**
     * Records a read of the changes since a revision.
     *
     * @param asOfMs a time at which the changes were complete
     * @param since the revision that was passed to the store
     */
    public void changed(long asOfMs, long since, ObjectStore.Listing listing) {
        List<Object> read = contents(listing);
        synchronized (this) {
            if (since != revision || contents.size() > MAX_KEYS) {
                restartAt(since);
            }
            for (int i = 0; i < read.size(); i++) {
                ObjectStore.Entry entry = listing.entries().get(i);
                if (!read.get(i).equals(contents.put(entry.key(), read.get(i)))) {
                    changes.put(entry.key(), new Change(listing.revision(), entry));
                }
            }
            recordRead(asOfMs, listing.revision());
        }
    }

    /**
     * Returns the changes since a revision. A reader that has read the store itself may be ahead of the recorded reads;
     * it gets no changes until they reach its revision.
     *
     * @param maxAgeMs highest age of the last read of the store, in milliseconds
     * @return empty if the changes since that revision are not known, or not recent enough
     */
    public synchronized Optional<ObjectStore.Listing> since(long nowMs, long since, long maxAgeMs) {
        boolean ahead = since > revision;
        boolean known = firstRevision != UNKNOWN && since >= firstRevision && !(ahead && historyLost);
        if (!known || nowMs - asOfMs > maxAgeMs) {
            return Optional.empty();
        }
        if (ahead) {
            return Optional.of(new ObjectStore.Listing(since, List.of()));
        }
        List<ObjectStore.Entry> entries = new ArrayList<>();
        for (Change change : changes.values()) {
            if (change.seenAtRevision() > since) {
                entries.add(change.entry());
            }
        }
        return Optional.of(new ObjectStore.Listing(revision, entries));
    }

    // Decoding takes longer than the thread that answers other nodes should wait.
    private List<Object> contents(ObjectStore.Listing listing) {
        List<Object> read = new ArrayList<>();
        listing.entries().forEach(e -> read.add(content.apply(e)));
        return read;
    }

    private void restartAt(long newRevision) {
        contents.clear();
        changes.clear();
        firstRevision = newRevision;
        revision = newRevision;
    }

    private void recordRead(long asOfMs, long newRevision) {
        if (newRevision < revision) {
            // The store lost history, so the changes up to its revision are not known, and a higher revision than this
            // one
            // may belong to the lost history.
            historyLost = true;
            restartAt(newRevision);
        }
        revision = newRevision;
        this.asOfMs = asOfMs;
    }
}
