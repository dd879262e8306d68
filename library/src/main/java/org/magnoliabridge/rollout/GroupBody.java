package org.magnoliabridge.rollout;

import java.util.List;

/** The samples of a group in one attempt; stored once and never changed. */
public record GroupBody(String group, int attempt, List<Sample> samples) {
    public GroupBody {
        samples = List.copyOf(samples);
        if (samples.isEmpty()) {
            throw new IllegalArgumentException("a group has at least one sample");
        }
    }

    long tokens() {
        return samples.stream().mapToLong(Sample::tokens).sum();
    }

    long minVersion() {
        return samples.stream().mapToLong(Sample::minVersion).min().orElseThrow();
    }
}
