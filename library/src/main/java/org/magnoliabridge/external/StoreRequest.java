package org.magnoliabridge.external;

/** A call to the object API as an effect of a decision core; the answer comes back as a {@link StoreReply}. */
public sealed interface StoreRequest {
    /** Reads an object. */
    record Read(ObjectKey key) implements StoreRequest {}

    /** Writes an object if its current version is the expected one, or {@link ObjectStore#ABSENT} to create it. */
    @SuppressWarnings("ArrayRecordComponent")
    record Write(ObjectKey key, long expectedVersion, byte[] value) implements StoreRequest {}

    /** Deletes an object if its current version is the expected one. */
    record Delete(ObjectKey key, long expectedVersion) implements StoreRequest {}

    /** Lists the keys under a prefix. */
    record List(String prefix) implements StoreRequest {}

    /** Priority of calls that wait for a permit; earlier constants go first. */
    enum Priority {
        LEASE,
        DECISION,
        STATUS
    }
}
