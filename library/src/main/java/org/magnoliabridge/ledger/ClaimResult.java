package org.magnoliabridge.ledger;

/**
 * A result that waits to be recorded for a claim.
 *
 * @param answer the answer, or null if the call was not sent
 * @param claimBase the expected version of the last write that had the claim
 */
record ClaimResult(String key, String token, StoredAnswer answer, long claimBaseVersion) {
    /** Returns whether the claim is neither in the image nor can still come into effect. */
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
