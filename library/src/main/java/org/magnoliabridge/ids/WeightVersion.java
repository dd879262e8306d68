package org.magnoliabridge.ids;

/**
 * Numbers the weights of a model service; higher is newer.
 *
 * @param value zero or more
 */
public record WeightVersion(long value) implements Comparable<WeightVersion> {
    public WeightVersion {
        if (value < 0) {
            throw new IllegalArgumentException("WeightVersion must not be negative: " + value);
        }
    }

    @Override
    public int compareTo(WeightVersion other) {
        return Long.compare(value, other.value);
    }

    /** Returns whether this value is higher than the other. */
    public boolean isAfter(WeightVersion other) {
        return value > other.value;
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
