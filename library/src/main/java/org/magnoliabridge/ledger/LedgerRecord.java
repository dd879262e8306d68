package org.magnoliabridge.ledger;

/**
 * The recorded state of one idempotency key.
 *
 * @param key the hash of the {@link LedgerKey}
 * @param digest the digest of the request body
 * @param token identifies the claim; only the process that created the token may send the call
 * @param timeMs wall-clock time of the last change of state
 * @param answer null unless the state is done
 */
record LedgerRecord(String key, String digest, State state, String token, long timeMs, StoredAnswer answer) {
    enum State {
        CLAIMED,
        DONE,
        NOT_RUN
    }

    /** Upper bound of a record's encoded size without content type and body; checked by a test. */
    static final int FIXED_BYTES = 96;

    static LedgerRecord claim(String key, String digest, String token, long nowMs) {
        return new LedgerRecord(key, digest, State.CLAIMED, token, nowMs, null);
    }

    LedgerRecord done(StoredAnswer result, long nowMs) {
        return new LedgerRecord(key, digest, State.DONE, token, nowMs, result.withinLimits());
    }

    LedgerRecord notRun(long nowMs) {
        return new LedgerRecord(key, digest, State.NOT_RUN, token, nowMs, null);
    }

    LedgerRecord withoutBody() {
        return new LedgerRecord(key, digest, state, token, timeMs, answer.withoutBody());
    }

    boolean hasBody() {
        return answer != null && answer.body().length > 0;
    }

    int maxBytes() {
        return FIXED_BYTES + (answer == null ? 0 : answer.contentType().length() * 3 + answer.body().length);
    }
}
