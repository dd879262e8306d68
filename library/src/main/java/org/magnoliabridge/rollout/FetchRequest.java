package org.magnoliabridge.rollout;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;

/** Marks groups that are too old as replaced, then reads and delivers the bodies of the groups after the cursor. */
final class FetchRequest extends DeliveryRequest {
    private static final long POLL_MS = 200;

    private final DeliveryInput.Fetch fetch;
    private StepHead head;
    private List<GroupEntry> entriesToDeliver = List.of();
    private final List<DeliveryEffect.Line> lines = new ArrayList<>();
    private boolean nudged;

    // Bodies are read one at a time. These fields are for the current one, whose parts are collected in bodyBytes.
    private GroupEntry reading;
    private StoredBody.Manifest manifest;
    private ByteArrayOutputStream bodyBytes = new ByteArrayOutputStream();
    private int nextPart;
    private long bodyTag;
    private long bodyRequestedMs;
    private long nextBodyRequestMs;

    FetchRequest(DeliveryInput.Fetch fetch) {
        super(fetch.requestId(), fetch.step(), fetch.deadlineMs());
        this.fetch = fetch;
    }

    @Override
    void start(DeliveryCore.InputContext context) {
        readHead(context);
    }

    @Override
    void onHead(StepHead read, long version, boolean justWritten, DeliveryCore.InputContext context) {
        StepHead observed = read.observe(fetch.trainerVersion());
        StepHead next = context.uses(Mechanism.EXPIRY) ? observed.expire() : observed;
        if (!next.equals(read)) {
            writeHead(next, version, StepJson.head(next), context);
        } else {
            deliver(read, context);
        }
    }

    private void deliver(StepHead current, DeliveryCore.InputContext context) {
        if (!nudged && !current.isComplete()) {
            context.nudge(step, current.trainerVersion());
            nudged = true;
        }
        List<GroupEntry> entries = current.liveEntriesAfter(fetch.cursor());
        if (context.uses(Mechanism.REPLACED_CHECK) && current.isOutdated(fetch.cursor())) {
            context.answer(this, new DeliveryEffect.Replaced(current.acknowledged()));
        } else if (entries.isEmpty() && !current.isComplete() && context.nowMs + POLL_MS < fetch.waitUntilMs()) {
            readLater(POLL_MS, context);
        } else {
            head = current;
            entriesToDeliver = entries;
            readBodies(context);
        }
    }

    @Override
    void onHeadMissing(DeliveryCore.InputContext context) {
        context.answer(this, new DeliveryEffect.NotFound());
    }

    /**
     * Serves from the cache while the store is unavailable, if the cached head needs no change for this fetch and every
     * body is cached.
     */
    @Override
    void onStoreUnavailable(DeliveryCore.InputContext context) {
        StepHead cached = context.cache().head(step);
        boolean valid = cached != null
                && cached.observe(fetch.trainerVersion()).expire().entries().equals(cached.entries())
                && !cached.isOutdated(fetch.cursor());
        if (valid
                && cached.liveEntriesAfter(fetch.cursor()).stream()
                        .allMatch(e -> context.cache().body(e.digest()) != null)) {
            head = cached;
            entriesToDeliver = cached.liveEntriesAfter(fetch.cursor());
            readBodies(context);
        } else {
            context.answer(this, new DeliveryEffect.Unavailable());
        }
    }

    private void readBodies(DeliveryCore.InputContext context) {
        for (GroupEntry entry : entriesToDeliver.subList(lines.size(), entriesToDeliver.size())) {
            byte[] body = context.cache().body(entry.digest());
            if (body == null) {
                reading = entry;
                manifest = null;
                nextPart = 0;
                bodyBytes = new ByteArrayOutputStream();
                requestBody(context);
                return;
            }
            lines.add(new DeliveryEffect.Line(entry.seq(), entry.digest(), body));
        }
        context.answer(this, new DeliveryEffect.Groups(lines, head.position(), head.isComplete()));
    }

    private void requestBody(DeliveryCore.InputContext context) {
        ObjectKey key = manifest == null
                ? step.bodyKey(reading.group(), reading.attempt())
                : step.partKey(reading.group(), reading.attempt(), reading.digest(), nextPart);
        bodyTag = context.sendToStore(this, new StoreRequest.Read(key));
        bodyRequestedMs = context.nowMs;
    }

    @Override
    void onOtherReply(long replyTag, StoreReply reply, DeliveryCore.InputContext context) {
        if (replyTag != bodyTag) {
            return;
        }
        bodyTag = 0;
        switch (reply) {
            case StoreReply.Found found -> {
                try {
                    onBodyObject(found.object().value(), context);
                } catch (MalformedStepException e) {
                    context.answer(this, new DeliveryEffect.Unavailable());
                }
            }
            case StoreReply.Unavailable down -> context.answer(this, new DeliveryEffect.Unavailable());
            default -> nextBodyRequestMs = context.nowMs + RETRY_MS;
        }
    }

    private void onBodyObject(byte[] value, DeliveryCore.InputContext context) throws MalformedStepException {
        StoredBody.Manifest found = manifest == null ? StepJson.manifest(value) : null;
        if (found != null) {
            manifest = found;
            requestBody(context);
            return;
        }
        bodyBytes.writeBytes(value);
        if (manifest != null && ++nextPart < manifest.parts()) {
            requestBody(context);
            return;
        }
        byte[] body = bodyBytes.toByteArray();
        if (StepJson.digest(body).equals(reading.digest())) {
            context.cache().put(reading.digest(), body);
            lines.add(new DeliveryEffect.Line(reading.seq(), reading.digest(), body));
            reading = null;
            readBodies(context);
        } else {
            throw new MalformedStepException(
                    "body of group " + reading.group() + " does not match its digest in the step head", null);
        }
    }

    @Override
    void onOtherTick(DeliveryCore.InputContext context) {
        if (reading != null && bodyTag == 0 && context.nowMs >= nextBodyRequestMs) {
            readBodies(context);
        } else if (bodyTag != 0 && context.nowMs - bodyRequestedMs >= STORE_TIMEOUT_MS) {
            bodyTag = 0;
        }
    }
}
