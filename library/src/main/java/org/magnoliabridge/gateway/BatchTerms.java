package org.magnoliabridge.gateway;

/**
 * Processing requirements for the batches of a route; times are in milliseconds from the first submission.
 *
 * @param dueMs time by which all results are requested
 * @param giveUpMs time after which an item without a result may be given up
 * @param singleVersion whether a single weight version must generate the whole text of an item
 */
public record BatchTerms(long dueMs, long giveUpMs, boolean singleVersion) {
    public BatchTerms {
        if (dueMs < 1 || giveUpMs < 1) {
            throw new IllegalArgumentException(
                    "batch times must be at least 1 ms: due " + dueMs + ", give up " + giveUpMs);
        }
    }
}
