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
 * second. Entries whose content is as before, such as those of heartbeats, are left out. Thread-safe.
 */
public final class RecentChanges {
    static final int MAX_KEYS = 2_000;
    private static final long UNKNOWN = -1;

    private final Function<ObjectStore.Entry, ?> content;
    private final Map<ObjectKey, Object> contents = new HashMap<>();
    private final Map<ObjectKey, Change> changes = new HashMap<>();
    private long firstRevision = UNKNOWN;
    private long revision = UNKNOWN;
    private long readAtMs;

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

    /** Records a complete read of the store. */
    public synchronized void listed(long nowMs, ObjectStore.Listing all) {
        restartAt(all.revision());
        all.entries().forEach(e -> contents.put(e.key(), content.apply(e)));
        recordRead(nowMs, all.revision());
    }

    /**
     * Records a read of the changes since a revision.
     *
     * @param since the revision that was passed to the store
     */
    public synchronized void changed(long nowMs, long since, ObjectStore.Listing listing) {
        if (since != revision || contents.size() > MAX_KEYS) {
            restartAt(since);
        }
        for (ObjectStore.Entry entry : listing.entries()) {
            Object now = content.apply(entry);
            if (!now.equals(contents.put(entry.key(), now))) {
                changes.put(entry.key(), new Change(listing.revision(), entry));
            }
        }
        recordRead(nowMs, listing.revision());
    }

    /**
     * Returns the changes since a revision.
     *
     * @param maxAgeMs longest time since the last read of the store, in milliseconds
     * @return empty if the changes since that revision are not known, or not recent enough
     */
    public synchronized Optional<ObjectStore.Listing> since(long nowMs, long since, long maxAgeMs) {
        boolean known = firstRevision != UNKNOWN && since >= firstRevision && since <= revision;
        if (!known || nowMs - readAtMs > maxAgeMs) {
            return Optional.empty();
        }
        List<ObjectStore.Entry> entries = new ArrayList<>();
        for (Change change : changes.values()) {
            if (change.seenAtRevision() > since) {
                entries.add(change.entry());
            }
        }
        return Optional.of(new ObjectStore.Listing(revision, entries));
    }

    private void restartAt(long newRevision) {
        contents.clear();
        changes.clear();
        firstRevision = newRevision;
        revision = newRevision;
    }

    private void recordRead(long nowMs, long newRevision) {
        if (newRevision < revision) {
            // The store lost history, so the changes up to its revision are not known.
            restartAt(newRevision);
        }
        revision = newRevision;
        readAtMs = nowMs;
    }
}
