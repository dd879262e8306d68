package org.magnoliabridge.external;

import java.util.Objects;

/**
 * An object as the object API holds it.
 *
 * @param key the object's name
 * @param version the version of this object, at least 1; rises with every update
 * @param value the content; not copied, callers must not change it
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredObject(ObjectKey key, long version, byte[] value) {
    public StoredObject {
        Objects.requireNonNull(key);
        Objects.requireNonNull(value);
        if (version < 1) {
            throw new IllegalArgumentException("version must be at least 1: " + version);
        }
    }
}
