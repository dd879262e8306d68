package org.magnoliabridge.external;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** An object store in memory that keeps every change, for tests. */
public class MemoryStore implements ObjectStore {
    private final Map<ObjectKey, StoredObject> objects = new TreeMap<>();
    private final List<StoredObject> history = new ArrayList<>();
    private long forgottenUpTo;

    /** Returns the objects in order of writing, without the first {@code start} writes. */
    public List<StoredObject> historyFrom(int start) {
        synchronized (history) {
            return start == history.size() ? List.of() : List.copyOf(history.subList(start, history.size()));
        }
    }

    void forgetHistory() {
        synchronized (history) {
            forgottenUpTo = history.size();
        }
    }

    @Override
    public Optional<StoredObject> read(ObjectKey key) throws PlatformException {
        synchronized (history) {
            return Optional.ofNullable(objects.get(key));
        }
    }

    @Override
    public long write(ObjectKey key, long expectedVersion, byte[] value) throws PlatformException {
        synchronized (history) {
            StoredObject current = objects.get(key);
            if ((current == null ? ABSENT : current.version()) != expectedVersion) {
                throw new PlatformException.VersionConflict(key, expectedVersion);
            }
            StoredObject written = new StoredObject(key, history.size() + 1L, value.clone());
            objects.put(key, written);
            history.add(written);
            return written.version();
        }
    }

    @Override
    public void delete(ObjectKey key, long expectedVersion) throws PlatformException {
        synchronized (history) {
            write(key, expectedVersion, new byte[0]);
            objects.remove(key);
        }
    }

    @Override
    public Listing list(String prefix) throws PlatformException {
        synchronized (history) {
            return new Listing(
                    history.size(),
                    objects.values().stream()
                            .filter(o -> o.key().value().startsWith(prefix))
                            .map(o -> new Entry(o.key(), o.version()))
                            .toList());
        }
    }

    @Override
    public Listing watch(String prefix, long sinceRevision, long waitMs) throws PlatformException {
        synchronized (history) {
            if (sinceRevision < forgottenUpTo) {
                throw new PlatformException.RevisionTooOld(sinceRevision);
            }
            return new Listing(
                    history.size(),
                    history.stream()
                            .filter(o -> o.version() > sinceRevision
                                    && o.key().value().startsWith(prefix))
                            .map(o -> new Entry(o.key(), o.version()))
                            .toList());
        }
    }
}
