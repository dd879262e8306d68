package org.magnoliabridge.rollout;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Decides which slow samples are also started on another engine (hedged), within a budget of extra tokens. */
final class StragglerRule {
    /** Maximum extra tokens of a step, as a fraction of its largest possible number of tokens. */
    static final double HEDGE_BUDGET = 0.05;

    /** Fraction of a group's samples that must be finished before the remaining ones are hedged. */
    static final double GROUP_DONE_FRACTION = 0.9;

    /** Multiple of the median duration after which a sample is hedged. */
    static final double SLOW_FACTOR = 1.5;

    /** The median of fewer durations is not reliable enough. */
    static final int MIN_DURATIONS = 5;

    private static final int TIMEOUT_FACTOR = 4;

    private final List<Long> durationsMs = new ArrayList<>();
    private long hedgedTokens;

    void recordDuration(long durationMs) {
        int at = Collections.binarySearch(durationsMs, durationMs);
        durationsMs.add(at < 0 ? -at - 1 : at, durationMs);
    }

    /** Charges the maximum tokens of a hedge, because a cancelled generation does not report its tokens. */
    void recordHedge(int maxTokens) {
        hedgedTokens += maxTokens;
    }

    long medianMs() {
        return durationsMs.isEmpty() ? 0 : durationsMs.get(durationsMs.size() / 2);
    }

    /** Returns the time after which an unfinished generation is cancelled. */
    long generationTimeoutMs(long initialMs, long minMs) {
        return durationsMs.size() < MIN_DURATIONS ? initialMs : Math.max(minMs, TIMEOUT_FACTOR * medianMs());
    }

    boolean shouldHedge(SampleState sample, GroupAttempt attempt, StepSpec spec, long nowMs) {
        if (sample.hedged || sample.completion != null || sample.startMsByGeneration.size() != 1) {
            return false;
        }
        double total = (double) spec.groups().size() * spec.samplesPerGroup() * spec.maxTokens();
        if (hedgedTokens + spec.maxTokens() > HEDGE_BUDGET * total) {
            return false;
        }
        long startMs = sample.startMsByGeneration.values().iterator().next();
        boolean slow = durationsMs.size() >= MIN_DURATIONS && nowMs - startMs > SLOW_FACTOR * medianMs();
        return slow || attempt.finishedSamples() >= GROUP_DONE_FRACTION * attempt.samples.size();
    }
}
