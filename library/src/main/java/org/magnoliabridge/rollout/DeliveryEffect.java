package org.magnoliabridge.rollout;

import java.util.List;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.ServiceId;

/** An action that {@link DeliveryCore} asks its caller to perform. */
public sealed interface DeliveryEffect {
    /** Send a store request with decision priority and pass its reply to the core with the same tag. */
    record Store(long tag, StoreRequest request) implements DeliveryEffect {}

    /** Tell the step's runner that a trainer at this weight version asks for samples. */
    record Nudge(StepRef step, long trainerVersion) implements DeliveryEffect {}

    /** Answer a request; every request that is not cancelled is answered exactly once. */
    record Reply(long requestId, Answer answer) implements DeliveryEffect {}

    /**
     * Count an acknowledgement whose outcome became known only after its request was answered or cancelled. No
     * {@link Reply} contains its usage.
     */
    record LateAcknowledgement(Acknowledged outcome) implements DeliveryEffect {}

    /** The answer to a request of a trainer. */
    sealed interface Answer {}

    /** The step is open; this request or an earlier one with the same specification opened it. */
    record Opened() implements Answer {}

    /**
     * The groups after the cursor, oldest first.
     *
     * @param cursor the cursor to acknowledge once the trainer has stored the lines, and to fetch from next
     * @param complete whether every group of the step is committed
     */
    record Groups(List<Line> lines, long cursor, boolean complete) implements Answer {}

    /**
     * Everything up to the cursor is acknowledged.
     *
     * @param delivered usage of the groups that this request acknowledged; none if an earlier request moved the cursor
     */
    record Acknowledged(StepRef step, long cursor, ServiceId service, DeliveredUsage delivered) implements Answer {}

    /**
     * A group that the trainer holds has been replaced, or the cursor is beyond the log.
     *
     * @param acknowledged the cursor to fetch from, after the trainer has dropped everything not yet acknowledged
     */
    record Replaced(long acknowledged) implements Answer {}

    /** The step is already open with a different specification. */
    record SpecConflict() implements Answer {}

    /** The step's head would be too large for the platform; the step was not opened. */
    record TooLarge() implements Answer {}

    /** The step does not exist. */
    record NotFound() implements Answer {}

    /** The platform can't be reached. An open or acknowledgement may still have taken effect; repeating it is safe. */
    record Unavailable() implements Answer {}

    /** A group in a fetch answer; {@link StepJson#line} encodes it. */
    @SuppressWarnings("ArrayRecordComponent")
    record Line(long seq, String digest, byte[] body) {}
}
