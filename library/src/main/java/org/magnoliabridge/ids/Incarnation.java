package org.magnoliabridge.ids;

/**
 * Numbers the starts of a node; a restarted node has a higher incarnation.
 *
 * @param value zero or more
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
    public Incarnation {
        if (value < 0) {
            throw new IllegalArgumentException("Incarnation must not be negative: " + value);
        }
    }

    @Override
    public int compareTo(Incarnation other) {
        return Long.compare(value, other.value);
    }

    /** Returns whether this value is higher than the other. */
    public boolean isAfter(Incarnation other) {
        return value > other.value;
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
