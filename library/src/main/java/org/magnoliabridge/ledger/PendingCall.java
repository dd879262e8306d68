package org.magnoliabridge.ledger;

/** A call that this process has not finished. */
final class PendingCall {
    /** The claim was in no write so far. */
    static final long NOT_CLAIMED = -1;

    final long callId;
    final String key;
    final String digest;
    final String token;
    final long arrivedMs;
    final long deadlineMs;

    /** The expected version of the last write that had the claim, or {@link #NEVER}. */
    long claimBaseVersion = NOT_CLAIMED;

    /** Another process holds a claim of the key, so this call may not say that the key did not run. */
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
