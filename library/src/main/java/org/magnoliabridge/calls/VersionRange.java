package org.magnoliabridge.calls;

import org.magnoliabridge.ids.WeightVersion;

/**
 * Consecutive tokens produced by the same weights.
 *
 * @param from index of the first token
 * @param to index after the last token
 * @param version weight version that the engine stamped on each of them
 */
public record VersionRange(int from, int to, WeightVersion version) {
    public VersionRange {
        if (from < 0 || to <= from) {
            throw new IllegalArgumentException("range must not be empty: " + from + " to " + to);
        }
    }
}
