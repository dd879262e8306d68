package org.magnoliabridge.rollout;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Decides which samples of a step are started once more on another engine, within the budget of extra tokens. */
final class StragglerRule {
    /** Extra tokens of a step, in parts of its largest possible number of tokens. */
    static final double HEDGE_BUDGET = 0.05;

    static final double GROUP_DONE_FRACTION = 0.9;
    static final double SLOW_FACTOR = 1.5;

    /** Fewer durations say too little about the median. */
    static final int MIN_DURATIONS = 5;

    private static final int TIMEOUT_FACTOR = 4;

    private final List<Long> durationsMs = new ArrayList<>();
    private long hedgedTokens;

    void recordDuration(long durationMs) {
        int at = Collections.binarySearch(durationsMs, durationMs);
        durationsMs.add(at < 0 ? -at - 1 : at, durationMs);
    }

    /** Charges the longest possible duplicate, because a cancelled generation does not report its tokens. */
    void recordHedge(int maxTokens) {
        hedgedTokens += maxTokens;
    }

    long medianMs() {
        return durationsMs.isEmpty() ? 0 : durationsMs.get(durationsMs.size() / 2);
    }

    /** Returns after which time a generation without an end is given up. */
    long generationTimeoutMs(long initialMs, long minMs) {
        return durationsMs.size() < MIN_DURATIONS ? initialMs : Math.max(minMs, TIMEOUT_FACTOR * medianMs());
    }

    boolean shouldHedge(SampleState sample, GroupAttempt group, StepSpec spec, long nowMs) {
        if (sample.hedged || sample.completion != null || sample.startMsByGeneration.size() != 1) {
            return false;
        }
        double total = (double) spec.groups().size() * spec.samplesPerGroup() * spec.maxTokens();
        if (hedgedTokens + spec.maxTokens() > HEDGE_BUDGET * total) {
            return false;
        }
        long started = sample.startMsByGeneration.values().iterator().next();
        boolean slow = durationsMs.size() >= MIN_DURATIONS && nowMs - started > SLOW_FACTOR * medianMs();
        return slow || group.finishedSamples() >= GROUP_DONE_FRACTION * group.samples.size();
    }
}
