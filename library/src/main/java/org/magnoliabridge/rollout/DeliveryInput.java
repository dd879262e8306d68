package org.magnoliabridge.rollout;

import org.magnoliabridge.external.StoreReply;

/** An input of {@link DeliveryCore}; request ids are unique within this process. */
public sealed interface DeliveryInput {
    /** A trainer opens a step. */
    record Open(long requestId, StepRef step, StepSpec spec, long deadlineMs) implements DeliveryInput {}

    /**
     * A trainer fetches groups.
     *
     * @param cursor the cursor of the trainer's last fetch, or 0
     * @param waitUntilMs until when the answer may wait for a group; at most the deadline
     */
    record Fetch(long requestId, StepRef step, long cursor, long trainerVersion, long waitUntilMs, long deadlineMs)
            implements DeliveryInput {}

    /** A trainer acknowledges everything that it fetched up to a cursor. */
    record Acknowledge(long requestId, StepRef step, long cursor, long trainerVersion, long deadlineMs)
            implements DeliveryInput {}

    /** The reply to the store request with the same tag; late and duplicate replies are ignored. */
    record Reply(long tag, StoreReply reply) implements DeliveryInput {}

    /** The trainer no longer waits for the answer, for example because its connection closed. */
    record Cancel(long requestId) implements DeliveryInput {}

    /** A timer tick; sent at least every 100 ms. */
    record Tick() implements DeliveryInput {}
}
