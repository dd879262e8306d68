package org.magnoliabridge.measure;

import java.util.HashMap;
import java.util.Map;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.external.StoredObject;

/** Answers reads and conditional writes from memory and counts them. */
final class MemoryObjects {
    private final Map<ObjectKey, StoredObject> objects = new HashMap<>();
    private long lastVersion;
    private long calls;
    private long writes;
    private long writtenBytes;
    private int lastWriteBytes;

    StoreReply answer(StoreRequest request) {
        calls++;
        return switch (request) {
            case StoreRequest.Read read -> {
                StoredObject object = objects.get(read.key());
                yield object == null ? new StoreReply.NotFound() : new StoreReply.Found(object);
            }
            case StoreRequest.Write write -> write(write);
            default -> throw new IllegalArgumentException("not a read or write: " + request);
        };
    }

    private StoreReply write(StoreRequest.Write write) {
        writes++;
        writtenBytes += write.value().length;
        lastWriteBytes = write.value().length;
        StoredObject object = objects.get(write.key());
        long version = object == null ? 0 : object.version();
        if (version != write.expectedVersion()) {
            return new StoreReply.Conflict();
        }
        objects.put(write.key(), new StoredObject(write.key(), ++lastVersion, write.value()));
        return new StoreReply.Written(lastVersion);
    }

    long calls() {
        return calls;
    }

    long writes() {
        return writes;
    }

    long writtenBytes() {
        return writtenBytes;
    }

    int lastWriteBytes() {
        return lastWriteBytes;
    }
}
