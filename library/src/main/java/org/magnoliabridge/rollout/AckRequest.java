package org.magnoliabridge.rollout;

import java.util.Optional;

/**
 * Moves the step's acknowledged cursor forward, unless it covers a group that was replaced or is now too old.
 *
 * <p>The write stores a token that is unique to this request. If the store's reply is lost, the token shows whether
 * this request moved the cursor. Only the request that moved the cursor counts the groups for usage.
 */
final class AckRequest extends DeliveryRequest {
    private static final long NO_PENDING_WRITE = -1;

    private final String token;
    private final long cursor;
    private final long trainerVersion;

    // Head version that the last write is conditional on; set while that write may still take effect.
    private long pendingWriteVersion = NO_PENDING_WRITE;

    AckRequest(DeliveryInput.Acknowledge ack, String token) {
        super(ack.requestId(), ack.step(), ack.deadlineMs());
        this.token = token;
        this.cursor = ack.cursor();
        this.trainerVersion = ack.trainerVersion();
    }

    @Override
    void start(DeliveryCore.InputContext context) {
        readHead(context);
    }

    @Override
    boolean hasUnresolvedWrite() {
        return pendingWriteVersion != NO_PENDING_WRITE;
    }

    @Override
    void onStoreUnavailable(DeliveryCore.InputContext context) {
        if (isDetached()) {
            readLater(RESOLVE_RETRY_MS, context);
        } else {
            super.onStoreUnavailable(context);
        }
    }

    @Override
    void onHead(StepHead head, long version, boolean justWritten, DeliveryCore.InputContext context) {
        Optional<DeliveredUsage> delivered =
                justWritten || context.uses(Mechanism.ACK_TOKEN_READ_BACK) ? head.deliveredBy(token) : Optional.empty();
        if (version != pendingWriteVersion) {
            // The head has changed: an earlier write has either stored its token in it or can no longer take effect.
            pendingWriteVersion = NO_PENDING_WRITE;
        }
        if (isDetached()) {
            resolve(head, delivered, context);
        } else if (cursor <= head.acknowledged()) {
            context.answer(this, acknowledged(head, delivered));
        } else if (context.uses(Mechanism.REPLACED_CHECK) && head.isOutdated(cursor)) {
            context.answer(this, new DeliveryEffect.Replaced(head.acknowledged()));
        } else {
            write(head, version, context);
        }
    }

    private void resolve(StepHead head, Optional<DeliveredUsage> delivered, DeliveryCore.InputContext context) {
        if (delivered.isPresent()) {
            context.resolved(this, acknowledged(head, delivered));
        } else if (pendingWriteVersion == NO_PENDING_WRITE) {
            context.resolved(this, null);
        } else {
            readLater(RESOLVE_RETRY_MS, context);
        }
    }

    private DeliveryEffect.Acknowledged acknowledged(StepHead head, Optional<DeliveredUsage> delivered) {
        return new DeliveryEffect.Acknowledged(
                step, cursor, head.spec().service(), delivered.orElse(DeliveredUsage.NONE));
    }

    private void write(StepHead head, long version, DeliveryCore.InputContext context) {
        StepHead observed = head.observe(trainerVersion);
        StepHead expired = context.uses(Mechanism.EXPIRY) ? observed.expire() : observed;
        // If the cursor covers entries that are now too old, this write only marks them as replaced. After the write,
        // onHead refuses the cursor.
        boolean refuse = context.uses(Mechanism.REPLACED_CHECK) && expired.isOutdated(cursor);
        StepHead next = refuse ? expired : expired.acknowledge(cursor, token);
        if (!refuse) {
            pendingWriteVersion = version;
        }
        writeHead(next, version, StepJson.head(next), context);
    }

    @Override
    void onHeadMissing(DeliveryCore.InputContext context) {
        pendingWriteVersion = NO_PENDING_WRITE;
        context.answer(this, new DeliveryEffect.NotFound());
        context.resolved(this, null);
    }
}
