package org.magnoliabridge.rollout;

import java.util.Optional;

/**
 * Moves the acknowledged cursor, unless a group that it covers was replaced or is now too old.
 *
 * <p>The write carries a token, which shows after a lost answer whether this request moved the cursor. Only the request
 * that moved it counts the groups for usage.
 */
final class AckRequest extends DeliveryRequest {
    private static final long NO_WRITE = -1;

    private final String token;
    private final long cursor;
    private final long trainerVersion;

    // The head version that the last write expects, while that write may still take effect.
    private long writeVersion = NO_WRITE;

    AckRequest(DeliveryInput.Acknowledge ack, String token) {
        super(ack.requestId(), ack.step(), ack.deadlineMs());
        this.token = token;
        this.cursor = ack.cursor();
        this.trainerVersion = ack.trainerVersion();
    }

    @Override
    void start(DeliveryCore.Turn turn) {
        readHead(turn);
    }

    @Override
    boolean hasOpenWrite() {
        return writeVersion != NO_WRITE;
    }

    @Override
    void unavailable(DeliveryCore.Turn turn) {
        if (isDetached()) {
            readLater(SETTLE_RETRY_MS, turn);
        } else {
            super.unavailable(turn);
        }
    }

    @Override
    void decide(StepHead head, long version, boolean justWritten, DeliveryCore.Turn turn) {
        Optional<DeliveredFigures> delivered =
                justWritten || turn.uses(Mechanism.ACK_TOKEN_READ_BACK) ? head.deliveredBy(token) : Optional.empty();
        if (version != writeVersion) {
            // The head has moved on, so an earlier write either shows its token here or can't take effect any more.
            writeVersion = NO_WRITE;
        }
        if (isDetached()) {
            settle(head, delivered, turn);
        } else if (cursor <= head.acknowledged()) {
            turn.answer(this, acknowledged(head, delivered));
        } else if (turn.uses(Mechanism.REPLACED_CHECK) && head.isOutdated(cursor)) {
            turn.answer(this, new DeliveryEffect.Replaced(head.acknowledged()));
        } else {
            write(head, version, turn);
        }
    }

    private void settle(StepHead head, Optional<DeliveredFigures> delivered, DeliveryCore.Turn turn) {
        if (delivered.isPresent()) {
            turn.settled(this, acknowledged(head, delivered));
        } else if (writeVersion == NO_WRITE) {
            turn.settled(this, null);
        } else {
            readLater(SETTLE_RETRY_MS, turn);
        }
    }

    private DeliveryEffect.Acknowledged acknowledged(StepHead head, Optional<DeliveredFigures> delivered) {
        return new DeliveryEffect.Acknowledged(
                step, cursor, head.spec().service(), delivered.orElse(DeliveredFigures.NONE));
    }

    private void write(StepHead head, long version, DeliveryCore.Turn turn) {
        StepHead observed = head.observe(trainerVersion);
        StepHead expired = turn.uses(Mechanism.EXPIRY) ? observed.expire() : observed;
        // Entries that this cursor covers are written as replaced first; the next decision then refuses the cursor.
        boolean refuse = turn.uses(Mechanism.REPLACED_CHECK) && expired.isOutdated(cursor);
        StepHead next = refuse ? expired : expired.acknowledge(cursor, token);
        if (!refuse) {
            writeVersion = version;
        }
        writeHead(next, version, StepJson.head(next), turn);
    }

    @Override
    void noHead(DeliveryCore.Turn turn) {
        writeVersion = NO_WRITE;
        turn.answer(this, new DeliveryEffect.NotFound());
        turn.settled(this, null);
    }
}
