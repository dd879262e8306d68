package org.magnoliabridge.external;

import java.util.regex.Pattern;

/**
 * Names an object of the object API: path segments separated by slashes.
 *
 * @param value for example {@code leases/orders-midlands}
 */
public record ObjectKey(String value) implements Comparable<ObjectKey> {
    // Possessive, because a pattern that keeps a state for each segment overflows the stack on a long key.
    private static final Pattern VALID =
            Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*+(?:/[A-Za-z0-9][A-Za-z0-9._-]*+)*+");

    public ObjectKey {
        if (value == null || !VALID.matcher(value).matches() || value.contains("..")) {
            throw new IllegalArgumentException("invalid object key: " + value);
        }
    }

    @Override
    public int compareTo(ObjectKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
