package org.magnoliabridge.batch;

import java.util.List;
import java.util.Optional;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.StoredObject;

/**
 * A store that answers a listing with entries that were read before, or fails.
 *
 * @param failsAtOtherNodes whether other nodes fail too
 */
record ListedStore(List<ObjectStore.Entry> entries, boolean fails, boolean failsAtOtherNodes) implements ObjectStore {
    @Override
    public Listing list(String prefix) throws PlatformException {
        if (fails) {
            throw failsAtOtherNodes
                    ? PlatformException.Unavailable.atOtherNodes("no node reaches the store")
                    : new PlatformException.Unavailable("no answer in time", null);
        }
        return new Listing(1, entries);
    }

    @Override
    public Optional<StoredObject> read(ObjectKey key) {
        throw new UnsupportedOperationException("entries hold their values");
    }

    @Override
    public long write(ObjectKey key, long expectedVersion, byte[] value) {
        throw new UnsupportedOperationException("only listed");
    }

    @Override
    public void delete(ObjectKey key, long expectedVersion) {
        throw new UnsupportedOperationException("only listed");
    }

    @Override
    public Listing watch(String prefix, long sinceRevision, long waitMs) {
        throw new UnsupportedOperationException("only listed");
    }
}
