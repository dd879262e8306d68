package org.magnoliabridge.ids;

/**
 * Orders the holders of a lease; a later holder has a higher token.
 *
 * @param value zero or more
 */
public record FencingToken(long value) implements Comparable<FencingToken> {
    public FencingToken {
        if (value < 0) {
            throw new IllegalArgumentException("FencingToken must not be negative: " + value);
        }
    }

    @Override
    public int compareTo(FencingToken other) {
        return Long.compare(value, other.value);
    }

    /** Returns whether this value is higher than the other. */
    public boolean isAfter(FencingToken other) {
        return value > other.value;
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
