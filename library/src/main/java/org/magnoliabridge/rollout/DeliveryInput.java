package org.magnoliabridge.rollout;

import org.magnoliabridge.external.StoreReply;

/** What {@link DeliveryCore} is told; request ids are unique among the requests of this process. */
public sealed interface DeliveryInput {
    /** A trainer opens a step. */
    record Open(long requestId, StepRef step, StepSpec spec, long deadlineMs) implements DeliveryInput {}

    /**
     * A trainer fetches groups.
     *
     * @param cursor the cursor of the trainer's last fetch, or 0
     * @param waitUntilMs until when the answer may wait for a group; before the deadline
     */
    record Fetch(long requestId, StepRef step, long cursor, long trainerVersion, long waitUntilMs, long deadlineMs)
            implements DeliveryInput {}

    /** A trainer acknowledges everything that it fetched up to a cursor. */
    record Acknowledge(long requestId, StepRef step, long cursor, long trainerVersion, long deadlineMs)
            implements DeliveryInput {}

    /** The answer to the store request with the tag; late and repeated answers are ignored. */
    record Reply(long tag, StoreReply reply) implements DeliveryInput {}

    /** The trainer's connection has ended; no answer is wanted. */
    record Cancel(long requestId) implements DeliveryInput {}

    /** Time has passed; given at least every 100 ms. */
    record Tick() implements DeliveryInput {}
}
