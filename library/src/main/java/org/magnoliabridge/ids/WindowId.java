package org.magnoliabridge.ids;

/**
 * Numbers a usage window: its start in milliseconds since the epoch divided by the window length.
 *
 * @param value zero or more
 */
public record WindowId(long value) implements Comparable<WindowId> {
    public WindowId {
        if (value < 0) {
            throw new IllegalArgumentException("WindowId must not be negative: " + value);
        }
    }

    @Override
    public int compareTo(WindowId other) {
        return Long.compare(value, other.value);
    }

    /** Returns whether this value is higher than the other. */
    public boolean isAfter(WindowId other) {
        return value > other.value;
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
