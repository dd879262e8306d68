package org.magnoliabridge.external;

/** The answer to a {@link StoreRequest}. */
public sealed interface StoreReply {
    /** The object that was read. */
    record Found(StoredObject object) implements StoreReply {}

    /** There is no such object. */
    record NotFound() implements StoreReply {}

    /** The write or delete took effect; the version is that of the object afterwards, 0 after a delete. */
    record Written(long version) implements StoreReply {}

    /** The current version was not the expected one; nothing was written. */
    record Conflict() implements StoreReply {}

    /** The keys under the prefix. */
    record Listed(ObjectStore.Listing listing) implements StoreReply {}

    /** The call certainly took no effect. */
    record Unavailable() implements StoreReply {}

    /** The write may or may not have taken effect, now or later, until the call's deadline has passed. */
    record Unknown() implements StoreReply {}
}
