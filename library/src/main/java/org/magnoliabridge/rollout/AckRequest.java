package org.magnoliabridge.rollout;

/** Moves the acknowledged cursor, unless a group that it covers was replaced or is now too old. */
final class AckRequest extends DeliveryRequest {
    private final long cursor;
    private final long trainerVersion;

    AckRequest(DeliveryInput.Acknowledge ack) {
        super(ack.requestId(), ack.step(), ack.deadlineMs());
        this.cursor = ack.cursor();
        this.trainerVersion = ack.trainerVersion();
    }

    @Override
    void start(DeliveryCore.Turn turn) {
        readHead(turn);
    }

    @Override
    void decide(StepHead head, long version, boolean justWritten, DeliveryCore.Turn turn) {
        if (cursor <= head.acknowledged()) {
            turn.answer(this, new DeliveryEffect.Acknowledged(cursor));
            return;
        }
        if (turn.uses(Mechanism.REPLACED_CHECK) && head.isOutdated(cursor)) {
            turn.answer(this, new DeliveryEffect.Replaced(head.acknowledged()));
            return;
        }
        StepHead observed = head.observe(trainerVersion);
        StepHead expired = turn.uses(Mechanism.EXPIRY) ? observed.expire() : observed;
        // Entries that this cursor covers are written as replaced first; the next decision then refuses the cursor.
        boolean refuse = turn.uses(Mechanism.REPLACED_CHECK) && expired.isOutdated(cursor);
        StepHead next = refuse ? expired : expired.acknowledge(cursor);
        writeHead(next, version, StepJson.head(next), turn);
    }

    @Override
    void noHead(DeliveryCore.Turn turn) {
        turn.answer(this, new DeliveryEffect.NotFound());
    }
}
