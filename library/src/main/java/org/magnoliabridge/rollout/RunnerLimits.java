package org.magnoliabridge.rollout;

/**
 * Limits of the work that one runner has at a time.
 *
 * @param maxGenerations generations in flight
 * @param maxBufferedBytes text of finished samples whose group is not yet stored, for example while the platform is out
 */
public record RunnerLimits(int maxGenerations, long maxBufferedBytes) {
    public RunnerLimits {
        if (maxGenerations < 1 || maxBufferedBytes < 1) {
            throw new IllegalArgumentException("limits must be at least 1");
        }
    }
}
