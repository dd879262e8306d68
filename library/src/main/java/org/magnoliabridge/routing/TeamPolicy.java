package org.magnoliabridge.routing;

/**
 * Weight and rate limit of a team in the configuration bundle.
 *
 * @param weight relative share of the tokens when teams compete
 * @param tokensPerSecond rate limit of generated tokens, over all nodes
 */
public record TeamPolicy(int weight, double tokensPerSecond) {
    public TeamPolicy {
        if (weight < 1 || tokensPerSecond <= 0) {
            throw new IllegalArgumentException(
                    "weight and tokensPerSecond must be positive: " + weight + ", " + tokensPerSecond);
        }
    }
}
