package org.magnoliabridge.rollout;

import java.util.List;
import java.util.Objects;

/**
 * One scored completion of a prompt.
 *
 * @param index position within the group, from 0
 * @param weightVersions the versions that produced the tokens, in order
 */
public record Sample(int index, String text, int tokens, double score, List<WeightRange> weightVersions) {
    public Sample {
        Objects.requireNonNull(text);
        weightVersions = List.copyOf(weightVersions);
    }

    long minVersion() {
        return WeightRange.minVersion(weightVersions);
    }
}
