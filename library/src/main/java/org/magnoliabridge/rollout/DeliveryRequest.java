package org.magnoliabridge.rollout;

import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;

/** One request of a trainer, with at most one store request on the step head in flight. */
abstract class DeliveryRequest {
    /** Longest wait for a store answer; longer than the client's own timeout, whose answer is then "unknown". */
    static final long STORE_TIMEOUT_MS = 5_000;

    static final long RETRY_MS = 200;

    /** How often the head is read to settle a write after its request is over. */
    static final long SETTLE_RETRY_MS = 1_000;

    /** How long a write is settled after its request is over; longer than a write stays under way in the network. */
    static final long SETTLE_MS = 60_000;

    final long id;
    final StepRef step;
    final long deadlineMs;
    private long tag;
    private long requestMs;
    private StepHead written;
    private long readAtMs = Long.MAX_VALUE;
    private boolean detached;
    private long settleUntilMs;

    DeliveryRequest(long id, StepRef step, long deadlineMs) {
        this.id = id;
        this.step = step;
        this.deadlineMs = deadlineMs;
    }

    abstract void start(DeliveryCore.Turn turn);

    /** The head was read, or one was written; the request goes on from it. */
    abstract void decide(StepHead head, long version, boolean justWritten, DeliveryCore.Turn turn);

    /** There is no head. */
    abstract void noHead(DeliveryCore.Turn turn);

    /** Returns whether a write with figures to count may have taken effect or still may. */
    boolean hasOpenWrite() {
        return false;
    }

    /** The request is over for the trainer, and goes on only to settle its open write. */
    final void detach(DeliveryCore.Turn turn) {
        detached = true;
        settleUntilMs = turn.nowMs + SETTLE_MS;
        if (tag == 0) {
            readLater(SETTLE_RETRY_MS, turn);
        }
    }

    final boolean isDetached() {
        return detached;
    }

    /** The store certainly did nothing. */
    void unavailable(DeliveryCore.Turn turn) {
        turn.answer(this, new DeliveryEffect.Unavailable());
    }

    /** An answer that is not about the head. */
    void other(long replyTag, StoreReply reply, DeliveryCore.Turn turn) {}

    /** Time has passed for something other than the head. */
    void otherTick(DeliveryCore.Turn turn) {}

    final void tick(DeliveryCore.Turn turn) {
        if (detached && turn.nowMs >= settleUntilMs && tag == 0) {
            turn.settled(this, null);
        } else if (!detached && turn.nowMs >= deadlineMs) {
            turn.answer(this, new DeliveryEffect.Unavailable());
        } else if (tag != 0 && turn.nowMs - requestMs >= STORE_TIMEOUT_MS) {
            reply(tag, new StoreReply.Unknown(), turn);
        } else if (turn.nowMs >= readAtMs) {
            readHead(turn);
        } else {
            otherTick(turn);
        }
    }

    final void reply(long replyTag, StoreReply reply, DeliveryCore.Turn turn) {
        if (replyTag != tag) {
            other(replyTag, reply, turn);
            return;
        }
        StepHead sent = written;
        tag = 0;
        written = null;
        switch (reply) {
            case StoreReply.Found found -> {
                try {
                    StepHead head = StepJson.head(found.object().value());
                    turn.cache().put(step, head);
                    decide(head, found.object().version(), false, turn);
                } catch (MalformedStepException e) {
                    unavailable(turn);
                }
            }
            case StoreReply.NotFound none -> noHead(turn);
            case StoreReply.Written done -> {
                turn.cache().put(step, sent);
                decide(sent, done.version(), true, turn);
            }
            case StoreReply.Conflict conflict -> readHead(turn);
            case StoreReply.Unknown unknown -> readLater(RETRY_MS, turn);
            case StoreReply.Unavailable down -> unavailable(turn);
            case StoreReply.Listed listed -> unavailable(turn);
        }
    }

    final void readHead(DeliveryCore.Turn turn) {
        readAtMs = Long.MAX_VALUE;
        send(new StoreRequest.Read(step.headKey()), turn);
    }

    final void readLater(long delayMs, DeliveryCore.Turn turn) {
        readAtMs = turn.nowMs + delayMs;
    }

    final void writeHead(StepHead head, long expectedVersion, byte[] value, DeliveryCore.Turn turn) {
        written = head;
        long expected = turn.uses(Mechanism.HEAD_CONDITIONAL_UPDATE) ? expectedVersion : -1;
        send(new StoreRequest.Write(step.headKey(), expected, value), turn);
    }

    private void send(StoreRequest request, DeliveryCore.Turn turn) {
        tag = turn.store(this, request);
        requestMs = turn.nowMs;
    }
}
