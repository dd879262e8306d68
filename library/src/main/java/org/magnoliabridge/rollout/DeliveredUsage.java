package org.magnoliabridge.rollout;

/**
 * Usage that is counted when groups are acknowledged.
 *
 * @param promptTokens the prompt's words times the number of samples, because engines don't report prompt tokens
 */
public record DeliveredUsage(long samples, long promptTokens, long completionTokens) {
    /** No usage. */
    public static final DeliveredUsage NONE = new DeliveredUsage(0, 0, 0);

    DeliveredUsage plus(DeliveredUsage other) {
        return new DeliveredUsage(
                samples + other.samples, promptTokens + other.promptTokens, completionTokens + other.completionTokens);
    }
}
