package org.magnoliabridge.rollout;

/**
 * What is counted for usage when groups are acknowledged.
 *
 * @param promptTokens the prompt's words times the number of samples, because engines don't report prompt tokens
 */
public record DeliveredUsage(long samples, long promptTokens, long completionTokens) {
    /** Nothing newly delivered. */
    public static final DeliveredUsage NONE = new DeliveredUsage(0, 0, 0);

    DeliveredUsage plus(DeliveredUsage other) {
        return new DeliveredUsage(
                samples + other.samples, promptTokens + other.promptTokens, completionTokens + other.completionTokens);
    }
}
