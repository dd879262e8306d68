package org.magnoliabridge.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.external.StoredObject;

/**
 * An in-memory object store. A write with the expected version -1 is unconditional, for cores with a safety mechanism
 * switched off.
 */
public final class SimStore {
    public final Map<ObjectKey, StoredObject> objects = new TreeMap<>();
    /** Whether the store refuses every request without effect. */
    public boolean unavailable;

    private long revision;

    public StoreReply apply(StoreRequest request) {
        if (unavailable) {
            return new StoreReply.Unavailable();
        }
        return switch (request) {
            case StoreRequest.Read read -> {
                StoredObject object = objects.get(read.key());
                yield object == null ? new StoreReply.NotFound() : new StoreReply.Found(object);
            }
            case StoreRequest.Write write -> write(write);
            case StoreRequest.Delete delete -> {
                if (version(delete.key()) != delete.expectedVersion()) {
                    yield new StoreReply.Conflict();
                }
                objects.remove(delete.key());
                yield new StoreReply.Written(0);
            }
            case StoreRequest.List list -> list(list.prefix());
        };
    }

    /** Returns the revision, which increases with every write. */
    public long revision() {
        return revision;
    }

    private StoreReply write(StoreRequest.Write write) {
        if (write.value().length > ObjectStore.MAX_VALUE_BYTES) {
            throw new IllegalStateException("object " + write.key() + " is too large: " + write.value().length);
        }
        if (write.expectedVersion() != -1 && write.expectedVersion() != version(write.key())) {
            return new StoreReply.Conflict();
        }
        revision++;
        objects.put(write.key(), new StoredObject(write.key(), revision, write.value()));
        return new StoreReply.Written(revision);
    }

    private StoreReply list(String prefix) {
        List<ObjectStore.Entry> entries = new ArrayList<>();
        objects.forEach((key, object) -> {
            if (key.value().startsWith(prefix)) {
                entries.add(new ObjectStore.Entry(key, object.version()));
            }
        });
        return new StoreReply.Listed(new ObjectStore.Listing(revision, entries));
    }

    private long version(ObjectKey key) {
        StoredObject object = objects.get(key);
        return object == null ? ObjectStore.ABSENT : object.version();
    }
}
