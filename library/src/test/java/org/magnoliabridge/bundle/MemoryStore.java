package org.magnoliabridge.bundle;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.external.StoredObject;

/** An in-memory object API; injects a fault into one write, which is chosen by its number. */
final class MemoryStore implements ObjectStore {
    final Map<ObjectKey, StoredObject> objects = new TreeMap<>();
    final List<BundleHead> heads = new ArrayList<>();
    boolean down;
    int faultAtWrite;
    Fault fault = Fault.NONE;
    Runnable beforeWrite = () -> {};
    private int writes;
    private Runnable late = () -> {};

    enum Fault {
        NONE,
        CRASH_BEFORE,
        CRASH_AFTER,
        LOSE_ANSWER,
        LOSE_REQUEST,
        LATE
    }

    /** Simulates a crash of the operator's process. */
    static final class Crash extends RuntimeException {}

    @Override
    public Optional<StoredObject> read(ObjectKey key) throws PlatformException {
        requireUp();
        return Optional.ofNullable(objects.get(key));
    }

    @Override
    public long write(ObjectKey key, long expectedVersion, byte[] value) throws PlatformException {
        requireUp();
        Runnable hook = beforeWrite;
        beforeWrite = () -> {};
        hook.run();
        Fault now = ++writes == faultAtWrite ? fault : Fault.NONE;
        if (now == Fault.CRASH_BEFORE) {
            throw new Crash();
        }
        if (now == Fault.LOSE_REQUEST || now == Fault.LATE) {
            if (now == Fault.LATE) {
                late = () -> put(key, expectedVersion, value);
            }
            throw new PlatformException.OutcomeUnknown("no answer", null);
        }
        boolean written = put(key, expectedVersion, value);
        late.run();
        late = () -> {};
        if (now == Fault.CRASH_AFTER) {
            throw new Crash();
        }
        if (now == Fault.LOSE_ANSWER) {
            throw new PlatformException.OutcomeUnknown("no answer", null);
        }
        if (!written) {
            throw new PlatformException.VersionConflict(key, expectedVersion);
        }
        return objects.get(key).version();
    }

    private boolean put(ObjectKey key, long expectedVersion, byte[] value) {
        StoredObject old = objects.get(key);
        if ((old == null ? ABSENT : old.version()) != expectedVersion) {
            return false;
        }
        objects.put(key, new StoredObject(key, expectedVersion + 1, value.clone()));
        if (key.equals(BundleHead.KEY)) {
            try {
                heads.add(BundleHead.read(value));
            } catch (UnacceptableBundleException e) {
                throw new IllegalStateException(e);
            }
        }
        return true;
    }

    @Override
    public void delete(ObjectKey key, long expectedVersion) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Listing list(String prefix) throws PlatformException {
        requireUp();
        return new Listing(
                1,
                objects.values().stream()
                        .filter(o -> o.key().value().startsWith(prefix))
                        .map(o -> new Entry(o.key(), o.version()))
                        .toList());
    }

    @Override
    public Listing watch(String prefix, long sinceRevision, long waitMs) {
        throw new UnsupportedOperationException();
    }

    StoreReply answer(StoreRequest request) {
        if (down) {
            return new StoreReply.Unavailable();
        }
        StoredObject object = objects.get(((StoreRequest.Read) request).key());
        return object == null ? new StoreReply.NotFound() : new StoreReply.Found(object);
    }

    private void requireUp() throws PlatformException {
        if (down) {
            throw new PlatformException.Unavailable("down", null);
        }
    }
}
