package org.magnoliabridge.external;

import java.util.List;
import java.util.Optional;

/**
 * The platform's versioned object API. Calls block the calling thread, so they are made from traffic threads only.
 *
 * <p>Every method throws {@link PlatformException}: {@link PlatformException.Unavailable} when the call certainly took
 * no effect, {@link PlatformException.OutcomeUnknown} when a write may have taken effect and its answer was lost.
 */
public interface ObjectStore {
    /** The expected version of an object that must not exist yet. */
    long ABSENT = 0;

    /** Largest value the object API accepts, in bytes. */
    int MAX_VALUE_BYTES = 1 << 20;

    /** Returns the object, or empty if there is none. */
    Optional<StoredObject> read(ObjectKey key) throws PlatformException;

    /**
     * Writes the object if its current version is the expected one.
     *
     * @param expectedVersion the version that must be current, or {@link #ABSENT} to create
     * @return the new version
     * @throws PlatformException.VersionConflict if the current version is another one
     */
    long write(ObjectKey key, long expectedVersion, byte[] value) throws PlatformException;

    /** Deletes the object if its current version is the expected one. */
    void delete(ObjectKey key, long expectedVersion) throws PlatformException;

    /** Returns all keys and versions under a prefix, and the store's revision at that moment. */
    Listing list(String prefix) throws PlatformException;

    /** Returns a listing that may be some seconds old, at a lower price where the store has one. */
    default Listing listStale(String prefix) throws PlatformException {
        return list(prefix);
    }

    /**
     * Returns the entries of the same kind that follow a key in the order of their names, as many as one call returns.
     * They may be some seconds old, and a store without such calls returns none.
     */
    default Listing nextStale(ObjectKey after) throws PlatformException {
        return new Listing(ABSENT, List.of());
    }

    /**
     * Waits for changes under a prefix after a revision.
     *
     * @param waitMs longest wait in milliseconds; an empty listing at its end means that nothing changed
     * @throws PlatformException.RevisionTooOld if the changes since the revision are no longer known; list again
     */
    Listing watch(String prefix, long sinceRevision, long waitMs) throws PlatformException;

    /**
     * An object of a listing.
     *
     * @param version 0 stands for a deleted object
     * @param object the object with its value, if the store sends values in listings
     */
    record Entry(ObjectKey key, long version, Optional<StoredObject> object) {
        /** Creates an entry without its value. */
        public Entry(ObjectKey key, long version) {
            this(key, version, Optional.empty());
        }

        /** Returns an entry with its value. */
        public static Entry of(StoredObject object) {
            return new Entry(object.key(), object.version(), Optional.of(object));
        }
    }

    /** Entries, and the store's revision at which they were read. */
    record Listing(long revision, List<Entry> entries) {
        public Listing {
            entries = List.copyOf(entries);
        }
    }
}
