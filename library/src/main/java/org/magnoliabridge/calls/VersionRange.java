package org.magnoliabridge.calls;

import org.magnoliabridge.ids.WeightVersion;

/**
 * Consecutive tokens generated with the same weight version.
 *
 * @param from index of the first token
 * @param to index after the last token
 * @param version weight version that the engine reported for each of the tokens
 */
public record VersionRange(int from, int to, WeightVersion version) {
    public VersionRange {
        if (from < 0 || to <= from) {
            throw new IllegalArgumentException("range must not be empty: " + from + " to " + to);
        }
    }
}
