package org.magnoliabridge.ledger;

/**
 * The result of a claimed call, waiting to be recorded in its shard.
 *
 * @param answer the answer, or null if the call did not run
 * @param claimBaseVersion the expected version of the last shard write that contained the claim
 */
record ClaimResult(String key, String token, StoredAnswer answer, long claimBaseVersion) {
    /** Returns whether the claim is not in the image and, by the shard's version, can no longer be committed. */
    boolean isObsolete(ShardImage image, long version) {
        return !hasClaim(image) && version > claimBaseVersion;
    }

    boolean hasClaim(ShardImage image) {
        LedgerRecord entry = image.get(key);
        return entry != null && entry.token().equals(token);
    }

    void applyTo(ShardImage image, long nowMs) {
        if (hasClaim(image)) {
            LedgerRecord entry = image.get(key);
            image.put(answer == null ? entry.notRun(nowMs) : entry.done(answer, nowMs));
        }
    }
}
