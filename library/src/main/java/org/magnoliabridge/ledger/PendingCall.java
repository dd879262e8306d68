package org.magnoliabridge.ledger;

/** A call that this process has not finished. */
final class PendingCall {
    /** Value of {@link #claimBaseVersion} while no write has contained the claim. */
    static final long NOT_CLAIMED = -1;

    final long callId;
    final String key;
    final String digest;
    final String token;
    final long arrivedMs;
    final long deadlineMs;

    /** The expected version of the last shard write that contained the claim, or {@link #NOT_CLAIMED}. */
    long claimBaseVersion = NOT_CLAIMED;

    /** Whether another call holds a claim of the key, so that this one must not be answered as "not run". */
    boolean waitsForOtherClaim;

    boolean sent;
    boolean answered;

    PendingCall(LedgerInput.Call call, String key, String token, long nowMs) {
        this.callId = call.callId();
        this.key = key;
        this.digest = call.bodyDigest();
        this.token = token;
        this.arrivedMs = nowMs;
        this.deadlineMs = call.deadlineMs();
    }
}
