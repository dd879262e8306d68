package org.magnoliabridge.routing;

/**
 * What the bundle grants a team.
 *
 * @param weight share among competing teams
 * @param tokensPerSecond limit of generated tokens over all nodes
 */
public record TeamPolicy(int weight, double tokensPerSecond) {
    public TeamPolicy {
        if (weight < 1 || tokensPerSecond <= 0) {
            throw new IllegalArgumentException("weight and rate must be positive");
        }
    }
}
