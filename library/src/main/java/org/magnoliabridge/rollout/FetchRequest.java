package org.magnoliabridge.rollout;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;

/** Replaces groups that are too old, then reads the bodies after the cursor and delivers them. */
final class FetchRequest extends DeliveryRequest {
    private static final long POLL_MS = 200;

    private final DeliveryInput.Fetch fetch;
    private StepHead head;
    private List<GroupEntry> wanted = List.of();
    private final List<DeliveryEffect.Line> lines = new ArrayList<>();
    private boolean nudged;

    // The body that is being read, one at a time; a body in parts is gathered here.
    private GroupEntry reading;
    private StoredBody.Manifest manifest;
    private ByteArrayOutputStream gathered = new ByteArrayOutputStream();
    private int part;
    private long bodyTag;
    private long bodyMs;
    private long bodyNotBeforeMs;

    FetchRequest(DeliveryInput.Fetch fetch) {
        super(fetch.requestId(), fetch.step(), fetch.deadlineMs());
        this.fetch = fetch;
    }

    @Override
    void start(DeliveryCore.Turn turn) {
        readHead(turn);
    }

    @Override
    void decide(StepHead read, long version, boolean justWritten, DeliveryCore.Turn turn) {
        StepHead observed = read.observe(fetch.trainerVersion());
        StepHead next = turn.uses(Mechanism.EXPIRY) ? observed.expire() : observed;
        if (!next.equals(read)) {
            writeHead(next, version, StepJson.head(next), turn);
        } else {
            deliver(read, turn);
        }
    }

    private void deliver(StepHead decided, DeliveryCore.Turn turn) {
        if (!nudged && !decided.isComplete()) {
            turn.nudge(step, decided.trainerVersion());
            nudged = true;
        }
        List<GroupEntry> entries = decided.after(fetch.cursor());
        if (turn.uses(Mechanism.REPLACED_CHECK) && decided.isOutdated(fetch.cursor())) {
            turn.answer(this, new DeliveryEffect.Replaced(decided.acknowledged()));
        } else if (entries.isEmpty() && !decided.isComplete() && turn.nowMs + POLL_MS < fetch.waitUntilMs()) {
            readLater(POLL_MS, turn);
        } else {
            head = decided;
            wanted = entries;
            readBodies(turn);
        }
    }

    @Override
    void noHead(DeliveryCore.Turn turn) {
        turn.answer(this, new DeliveryEffect.NotFound());
    }

    /** Serves from memory while the store is out, if nothing has to be decided and every body is there. */
    @Override
    void unavailable(DeliveryCore.Turn turn) {
        StepHead cached = turn.cache().head(step);
        boolean decided = cached != null
                && cached.observe(fetch.trainerVersion()).expire().entries().equals(cached.entries())
                && !cached.isOutdated(fetch.cursor());
        if (decided
                && cached.after(fetch.cursor()).stream()
                        .allMatch(e -> turn.cache().body(e.digest()) != null)) {
            head = cached;
            wanted = cached.after(fetch.cursor());
            readBodies(turn);
        } else {
            turn.answer(this, new DeliveryEffect.Unavailable());
        }
    }

    private void readBodies(DeliveryCore.Turn turn) {
        for (GroupEntry entry : wanted.subList(lines.size(), wanted.size())) {
            byte[] body = turn.cache().body(entry.digest());
            if (body == null) {
                reading = entry;
                manifest = null;
                part = 0;
                gathered = new ByteArrayOutputStream();
                requestBody(turn);
                return;
            }
            lines.add(new DeliveryEffect.Line(entry.seq(), entry.digest(), body));
        }
        turn.answer(this, new DeliveryEffect.Groups(lines, head.position(), head.isComplete()));
    }

    private void requestBody(DeliveryCore.Turn turn) {
        ObjectKey key = manifest == null
                ? step.bodyKey(reading.group(), reading.attempt())
                : step.partKey(reading.group(), reading.attempt(), reading.digest(), part);
        bodyTag = turn.store(this, new StoreRequest.Read(key));
        bodyMs = turn.nowMs;
    }

    @Override
    void other(long replyTag, StoreReply reply, DeliveryCore.Turn turn) {
        if (replyTag != bodyTag) {
            return;
        }
        bodyTag = 0;
        switch (reply) {
            case StoreReply.Found found -> {
                try {
                    read(found.object().value(), turn);
                } catch (MalformedStepException e) {
                    turn.answer(this, new DeliveryEffect.Unavailable());
                }
            }
            case StoreReply.Unavailable down -> turn.answer(this, new DeliveryEffect.Unavailable());
            default -> bodyNotBeforeMs = turn.nowMs + RETRY_MS;
        }
    }

    private void read(byte[] value, DeliveryCore.Turn turn) throws MalformedStepException {
        StoredBody.Manifest found = manifest == null ? StepJson.manifest(value) : null;
        if (found != null) {
            manifest = found;
            requestBody(turn);
            return;
        }
        gathered.writeBytes(value);
        if (manifest != null && ++part < manifest.parts()) {
            requestBody(turn);
            return;
        }
        byte[] body = gathered.toByteArray();
        if (StepJson.digest(body).equals(reading.digest())) {
            turn.cache().put(reading.digest(), body);
            lines.add(new DeliveryEffect.Line(reading.seq(), reading.digest(), body));
            reading = null;
            readBodies(turn);
        } else {
            throw new MalformedStepException("digest of group " + reading.group() + " does not match", null);
        }
    }

    @Override
    void otherTick(DeliveryCore.Turn turn) {
        if (reading != null && bodyTag == 0 && turn.nowMs >= bodyNotBeforeMs) {
            readBodies(turn);
        } else if (bodyTag != 0 && turn.nowMs - bodyMs >= STORE_TIMEOUT_MS) {
            bodyTag = 0;
        }
    }
}
