package org.magnoliabridge.ledger;

import org.magnoliabridge.external.StoreReply;

/** What {@link LedgerCore} is told. */
public sealed interface LedgerInput {
    /**
     * A call with an idempotency key has arrived.
     *
     * @param callId unique among the calls of this process
     * @param bodyDigest see {@link LedgerKey#digestOf}
     * @param deadlineMs when the caller must have an answer, on the clock of {@code nowMs}
     */
    record Call(long callId, LedgerKey key, String bodyDigest, long deadlineMs) implements LedgerInput {}

    /** What became of a call that the core ordered to send. */
    record SendFinished(long callId, SendResult result) implements LedgerInput {}

    /** The answer to the store request with the tag; late and repeated answers are ignored. */
    record Reply(long tag, StoreReply reply) implements LedgerInput {}

    /** Time has passed; given at least every 100 ms. */
    record Tick() implements LedgerInput {}

    /** The outcome of a send. */
    sealed interface SendResult {}

    /** The service answered. */
    record Ran(StoredAnswer answer) implements SendResult {}

    /** No byte of the request was written, or the service itself says that it did not run the call. */
    record NotRun() implements SendResult {}

    /** The call was written and no whole answer came. */
    record Unknown() implements SendResult {}
}
