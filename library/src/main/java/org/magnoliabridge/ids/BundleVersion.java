package org.magnoliabridge.ids;

/**
 * Numbers a bundle; a node applies only a higher version than its own.
 *
 * @param value zero or more
 */
public record BundleVersion(long value) implements Comparable<BundleVersion> {
    public BundleVersion {
        if (value < 0) {
            throw new IllegalArgumentException("BundleVersion must not be negative: " + value);
        }
    }

    @Override
    public int compareTo(BundleVersion other) {
        return Long.compare(value, other.value);
    }

    /** Returns whether this value is higher than the other. */
    public boolean isAfter(BundleVersion other) {
        return value > other.value;
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
