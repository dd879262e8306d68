package org.magnoliabridge.daemon;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.StoredObject;

/** An in-memory object store that can be made unavailable. */
final class FakeStore implements ObjectStore {
    private final Map<ObjectKey, StoredObject> objects = new HashMap<>();
    volatile boolean down;

    @Override
    public synchronized Optional<StoredObject> read(ObjectKey key) throws PlatformException {
        check();
        return Optional.ofNullable(objects.get(key));
    }

    @Override
    public synchronized long write(ObjectKey key, long expectedVersion, byte[] value) throws PlatformException {
        check();
        StoredObject current = objects.get(key);
        long version = current == null ? ABSENT : current.version();
        if (version != expectedVersion) {
            throw new PlatformException.VersionConflict(key, expectedVersion);
        }
        objects.put(key, new StoredObject(key, version + 1, value));
        return version + 1;
    }

    @Override
    public void delete(ObjectKey key, long expectedVersion) {
        throw new UnsupportedOperationException("not used by these tests");
    }

    @Override
    public Listing list(String prefix) {
        throw new UnsupportedOperationException("not used by these tests");
    }

    @Override
    public Listing watch(String prefix, long sinceRevision, long waitMs) {
        throw new UnsupportedOperationException("not used by these tests");
    }

    private void check() throws PlatformException {
        if (down) {
            throw new PlatformException.Unavailable("out", null);
        }
    }
}
