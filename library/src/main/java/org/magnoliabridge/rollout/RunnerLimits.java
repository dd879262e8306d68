package org.magnoliabridge.rollout;

/**
 * Limits on the concurrent work of a runner.
 *
 * @param maxGenerations number of generations in flight
 * @param maxBufferedBytes generated text whose group is not yet stored, for example while the platform is unavailable
 */
public record RunnerLimits(int maxGenerations, long maxBufferedBytes) {
    public RunnerLimits {
        if (maxGenerations < 1 || maxBufferedBytes < 1) {
            throw new IllegalArgumentException("limits must be at least 1: maxGenerations " + maxGenerations
                    + ", maxBufferedBytes " + maxBufferedBytes);
        }
    }
}
