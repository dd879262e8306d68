package org.magnoliabridge.rollout;

/**
 * What is counted for usage when groups are acknowledged.
 *
 * @param promptTokens the prompt's words times the number of samples, because engines don't report prompt tokens
 */
public record DeliveredFigures(long samples, long promptTokens, long completionTokens) {
    /** Nothing newly delivered. */
    public static final DeliveredFigures NONE = new DeliveredFigures(0, 0, 0);

    DeliveredFigures plus(DeliveredFigures other) {
        return new DeliveredFigures(
                samples + other.samples, promptTokens + other.promptTokens, completionTokens + other.completionTokens);
    }
}
