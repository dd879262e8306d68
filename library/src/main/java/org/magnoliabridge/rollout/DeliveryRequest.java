package org.magnoliabridge.rollout;

import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;

/** One request of a trainer, with at most one store request on the step head in flight. */
abstract class DeliveryRequest {
    /** Longest wait for a store answer; longer than the client's own timeout, whose answer is then "unknown". */
    static final long STORE_TIMEOUT_MS = 5_000;

    static final long RETRY_MS = 200;

    /** How often the head is read to settle a write after its request is over. */
    static final long RESOLVE_RETRY_MS = 1_000;

    /** How long a write is settled after its request is over; longer than a write stays under way in the network. */
    static final long RESOLVE_TIMEOUT_MS = 60_000;

    final long id;
    final StepRef step;
    final long deadlineMs;
    private long tag;
    private long requestedMs;
    private StepHead proposedHead;
    private long nextReadMs = Long.MAX_VALUE;
    private boolean detached;
    private long resolveUntilMs;

    DeliveryRequest(long id, StepRef step, long deadlineMs) {
        this.id = id;
        this.step = step;
        this.deadlineMs = deadlineMs;
    }

    abstract void start(DeliveryCore.InputContext context);

    /** The head was read, or one was written; the request goes on from it. */
    abstract void onHead(StepHead head, long version, boolean justWritten, DeliveryCore.InputContext context);

    /** There is no head. */
    abstract void onHeadMissing(DeliveryCore.InputContext context);

    /** Returns whether a write with figures to count may have taken effect or still may. */
    boolean hasUnresolvedWrite() {
        return false;
    }

    /** The request is over for the trainer, and goes on only to settle its open write. */
    final void detach(DeliveryCore.InputContext context) {
        detached = true;
        resolveUntilMs = context.nowMs + RESOLVE_TIMEOUT_MS;
        if (tag == 0) {
            readLater(RESOLVE_RETRY_MS, context);
        }
    }

    final boolean isDetached() {
        return detached;
    }

    /** The store certainly did nothing. */
    void onStoreUnavailable(DeliveryCore.InputContext context) {
        context.answer(this, new DeliveryEffect.Unavailable());
    }

    /** An answer that is not about the head. */
    void onOtherReply(long replyTag, StoreReply reply, DeliveryCore.InputContext context) {}

    /** Time has passed for something other than the head. */
    void onOtherTick(DeliveryCore.InputContext context) {}

    final void tick(DeliveryCore.InputContext context) {
        if (detached && context.nowMs >= resolveUntilMs && tag == 0) {
            context.resolved(this, null);
        } else if (!detached && context.nowMs >= deadlineMs) {
            context.answer(this, new DeliveryEffect.Unavailable());
        } else if (tag != 0 && context.nowMs - requestedMs >= STORE_TIMEOUT_MS) {
            reply(tag, new StoreReply.Unknown(), context);
        } else if (context.nowMs >= nextReadMs) {
            readHead(context);
        } else {
            onOtherTick(context);
        }
    }

    final void reply(long replyTag, StoreReply reply, DeliveryCore.InputContext context) {
        if (replyTag != tag) {
            onOtherReply(replyTag, reply, context);
            return;
        }
        StepHead sent = proposedHead;
        tag = 0;
        proposedHead = null;
        switch (reply) {
            case StoreReply.Found found -> {
                try {
                    StepHead head = StepJson.head(found.object().value());
                    context.cache().put(step, head);
                    onHead(head, found.object().version(), false, context);
                } catch (MalformedStepException e) {
                    onStoreUnavailable(context);
                }
            }
            case StoreReply.NotFound none -> onHeadMissing(context);
            case StoreReply.Written done -> {
                context.cache().put(step, sent);
                onHead(sent, done.version(), true, context);
            }
            case StoreReply.Conflict conflict -> readHead(context);
            case StoreReply.Unknown unknown -> readLater(RETRY_MS, context);
            case StoreReply.Unavailable down -> onStoreUnavailable(context);
            case StoreReply.Listed listed -> onStoreUnavailable(context);
        }
    }

    final void readHead(DeliveryCore.InputContext context) {
        nextReadMs = Long.MAX_VALUE;
        send(new StoreRequest.Read(step.headKey()), context);
    }

    final void readLater(long delayMs, DeliveryCore.InputContext context) {
        nextReadMs = context.nowMs + delayMs;
    }

    final void writeHead(StepHead head, long expectedVersion, byte[] value, DeliveryCore.InputContext context) {
        proposedHead = head;
        long expected = context.uses(Mechanism.HEAD_CONDITIONAL_UPDATE) ? expectedVersion : -1;
        send(new StoreRequest.Write(step.headKey(), expected, value), context);
    }

    private void send(StoreRequest request, DeliveryCore.InputContext context) {
        tag = context.sendToStore(this, request);
        requestedMs = context.nowMs;
    }
}
