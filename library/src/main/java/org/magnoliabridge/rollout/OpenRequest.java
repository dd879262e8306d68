package org.magnoliabridge.rollout;

import org.magnoliabridge.external.ObjectStore;

/** Creates the step head, or checks that an existing head has the same specification. */
final class OpenRequest extends DeliveryRequest {
    /** Space reserved for entries in the head object; a step that leaves less is refused before anything is written. */
    private static final int ENTRIES_RESERVE_BYTES = 400_000;

    private final StepSpec spec;

    OpenRequest(long id, StepRef step, long deadlineMs, StepSpec spec) {
        super(id, step, deadlineMs);
        this.spec = spec;
    }

    @Override
    void start(DeliveryCore.InputContext context) {
        readHead(context);
    }

    @Override
    void onHead(StepHead head, long version, boolean justWritten, DeliveryCore.InputContext context) {
        if (!head.spec().equals(spec)) {
            context.answer(this, new DeliveryEffect.SpecConflict());
            return;
        }
        context.nudge(step, head.trainerVersion());
        context.answer(this, new DeliveryEffect.Opened());
    }

    @Override
    void onHeadMissing(DeliveryCore.InputContext context) {
        StepHead head = StepHead.open(spec, context.nowMs);
        byte[] value = StepJson.head(head);
        if (value.length > ObjectStore.MAX_VALUE_BYTES - ENTRIES_RESERVE_BYTES) {
            context.answer(this, new DeliveryEffect.TooLarge());
        } else {
            writeHead(head, ObjectStore.ABSENT, value, context);
        }
    }
}
