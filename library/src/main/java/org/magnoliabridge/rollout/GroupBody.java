package org.magnoliabridge.rollout;

import java.util.List;

/** The samples of one attempt at a group; written once and never changed. */
public record GroupBody(String group, int attempt, List<Sample> samples) {
    public GroupBody {
        samples = List.copyOf(samples);
        if (samples.isEmpty()) {
            throw new IllegalArgumentException("group " + group + " has no samples in attempt " + attempt);
        }
    }

    long tokens() {
        return samples.stream().mapToLong(Sample::tokens).sum();
    }

    long minVersion() {
        return samples.stream().mapToLong(Sample::minVersion).min().orElseThrow();
    }
}
