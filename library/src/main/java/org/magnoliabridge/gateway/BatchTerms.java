package org.magnoliabridge.gateway;

/**
 * Time limits of a route's batches, in milliseconds from the first submission.
 *
 * @param dueMs when all results are wanted
 * @param giveUpMs when an item without a result may be given up
 * @param singleVersion whether one weight version must produce the whole text of an item
 */
public record BatchTerms(long dueMs, long giveUpMs, boolean singleVersion) {
    public BatchTerms {
        if (dueMs < 1 || giveUpMs < 1) {
            throw new IllegalArgumentException("time limits must be at least 1 ms");
        }
    }
}
