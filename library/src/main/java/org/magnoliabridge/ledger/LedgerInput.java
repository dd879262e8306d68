package org.magnoliabridge.ledger;

import org.magnoliabridge.external.StoreReply;

/** An input of {@link LedgerCore}. */
public sealed interface LedgerInput {
    /**
     * A call with an idempotency key has arrived.
     *
     * @param callId unique among the calls of this process
     * @param bodyDigest see {@link LedgerKey#digestOf}
     * @param deadlineMs time by which the caller must have an answer, on the clock of {@code nowMs}
     */
    record Call(long callId, LedgerKey key, String bodyDigest, long deadlineMs) implements LedgerInput {}

    /** The result of {@link LedgerEffect.Send}. */
    record SendFinished(long callId, SendResult result) implements LedgerInput {}

    /** The answer to the store request with the tag; late and repeated answers are ignored. */
    record Reply(long tag, StoreReply reply) implements LedgerInput {}

    /** Time has passed; given at least every 100 ms. */
    record Tick() implements LedgerInput {}

    /** The outcome of a send. */
    sealed interface SendResult {}

    /** The service answered. */
    record Ran(StoredAnswer answer) implements SendResult {}

    /** No byte of the request was written, or the service answered that it did not run the call. */
    record NotRun() implements SendResult {}

    /** At least part of the request was written, and no complete answer came. */
    record Unknown() implements SendResult {}
}
