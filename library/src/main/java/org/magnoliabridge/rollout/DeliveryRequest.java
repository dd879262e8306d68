package org.magnoliabridge.rollout;

import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;

/** A request of a trainer; at most one store request on the step head is in flight at a time. */
abstract class DeliveryRequest {
    /** Longest wait for a store reply; longer than the store client's own timeout, which gives an unknown outcome. */
    static final long STORE_TIMEOUT_MS = 5_000;

    static final long RETRY_MS = 200;

    /** Interval between reads of the head that resolve the outcome of a write after its request has ended. */
    static final long RESOLVE_RETRY_MS = 1_000;

    /** Time to resolve the outcome of a write after its request has ended; longer than a write is in transit. */
    static final long RESOLVE_TIMEOUT_MS = 60_000;

    final long id;
    final StepRef step;
    final long deadlineMs;
    // Tag of the head request in flight, or 0.
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

    /** Continues the request with a head that was read or has just been written. */
    abstract void onHead(StepHead head, long version, boolean justWritten, DeliveryCore.InputContext context);

    /** Handles a step that has no head. */
    abstract void onHeadMissing(DeliveryCore.InputContext context);

    /** Returns whether a write whose usage is to be counted may have taken effect, or still may. */
    boolean hasUnresolvedWrite() {
        return false;
    }

    /** Ends the request for the trainer; it continues only to resolve the outcome of its write. */
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

    /** Handles a store request that certainly had no effect, or a reply that cannot be used. */
    void onStoreUnavailable(DeliveryCore.InputContext context) {
        context.answer(this, new DeliveryEffect.Unavailable());
    }

    /** Handles a reply to a store request that is not on the head. */
    void onOtherReply(long replyTag, StoreReply reply, DeliveryCore.InputContext context) {}

    /** Handles a tick at which nothing is due for the head. */
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
        StepHead written = proposedHead;
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
                context.cache().put(step, written);
                onHead(written, done.version(), true, context);
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
