package org.magnoliabridge.rollout;

import java.util.List;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.ServiceId;

/** What {@link DeliveryCore} orders. */
public sealed interface DeliveryEffect {
    /** Make a store request with decision priority and give the answer back with the tag. */
    record Store(long tag, StoreRequest request) implements DeliveryEffect {}

    /** Tell the step's runner that a trainer at the version wants samples. */
    record Nudge(StepRef step, long trainerVersion) implements DeliveryEffect {}

    /** Answer a request; given exactly once for each, unless it is cancelled. */
    record Reply(long requestId, Answer answer) implements DeliveryEffect {}

    /**
     * Count an acknowledgement whose outcome became known only after its request was answered or cancelled. Its figures
     * are in no {@link Reply}.
     */
    record LateAcknowledgement(Acknowledged outcome) implements DeliveryEffect {}

    /** What a trainer is told. */
    sealed interface Answer {}

    /** The step is open, now or since an earlier request with the same content. */
    record Opened() implements Answer {}

    /**
     * The groups after the cursor, oldest first.
     *
     * @param cursor what to acknowledge once the lines are safe with the trainer, and to fetch from next
     * @param complete whether every group of the step is decided
     */
    record Groups(List<Line> lines, long cursor, boolean complete) implements Answer {}

    /**
     * Everything up to the cursor is acknowledged.
     *
     * @param delivered what this request newly delivered; nothing if an earlier request had moved the cursor
     */
    record Acknowledged(StepRef step, long cursor, ServiceId service, DeliveredUsage delivered) implements Answer {}

    /**
     * A group that the trainer holds has been replaced, or the cursor is unknown.
     *
     * @param acknowledged the cursor to fetch from, after dropping everything that is not acknowledged
     */
    record Replaced(long acknowledged) implements Answer {}

    /** The step is open with other content. */
    record SpecConflict() implements Answer {}

    /** The step's head would be larger than the platform accepts; nothing was opened. */
    record TooLarge() implements Answer {}

    /** There is no such step. */
    record NotFound() implements Answer {}

    /** The platform can't be reached; an open or acknowledgement may have taken effect and may be repeated. */
    record Unavailable() implements Answer {}

    /** A group of a fetch answer; see {@link StepJson#line}. */
    @SuppressWarnings("ArrayRecordComponent")
    record Line(long seq, String digest, byte[] body) {}
}
