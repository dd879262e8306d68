package org.magnoliabridge.ledger;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ledger.LedgerEffect.Reason;
import org.magnoliabridge.ledger.LedgerRecord.State;
import org.magnoliabridge.ledger.ShardImage.MalformedShardException;

/**
 * One shard of the ledger: its last known content, the calls in progress, and the results that wait to be written.
 *
 * <p>After a conflict or a lost store answer the shard is read again, and each waiting claim is looked up by its token.
 * A claim that is not found is written again with the same token. Whichever of the two writes takes effect commits the
 * same claim, and the other one fails on its expected version.
 */
final class LedgerShard {
    static final long RETENTION_MS = 3_600_000;

    /** Maximum age of a claim at which its call may be sent, and at which a repeated call waits for its result. */
    static final long CLAIM_VALIDITY_MS = 30_000;

    /** Longest wait for a store answer; longer than the store client's own timeout, which gives "unknown". */
    static final long STORE_TIMEOUT_MS = 5_000;

    static final long RETRY_MS = 200;
    static final long POLL_INTERVAL_MS = 500;

    private final ObjectKey object;
    private final ToLongFunction<LedgerShard> nextTag;
    private final Set<Mechanism> mechanisms;
    private final Map<Long, PendingCall> calls = new LinkedHashMap<>();
    private final List<ClaimResult> results = new ArrayList<>();
    private ShardImage image;
    private long version;
    private long imageReadMs;
    private boolean stale = true;
    private long tag;
    private long requestMs;
    private ShardImage pendingImage;
    private List<ClaimResult> pendingResults = List.of();
    private long notBeforeMs = Long.MIN_VALUE;

    LedgerShard(ObjectKey object, ToLongFunction<LedgerShard> nextTag, Set<Mechanism> mechanisms) {
        this.object = object;
        this.nextTag = nextTag;
        this.mechanisms = mechanisms;
    }

    boolean isInFlight(long other) {
        return tag == other;
    }

    boolean hasCall(long callId) {
        return calls.containsKey(callId);
    }

    int pending() {
        return calls.size() + results.size();
    }

    void add(PendingCall call, long nowMs, List<LedgerEffect> effects) {
        calls.put(call.callId, call);
        proceed(nowMs, effects);
    }

    void handleSendResult(long callId, LedgerInput.SendResult result, long nowMs, List<LedgerEffect> effects) {
        PendingCall call = calls.get(callId);
        if (call == null || !call.sent) {
            return;
        }
        calls.remove(callId);
        switch (result) {
            case LedgerInput.Ran ran -> {
                answer(call, new LedgerEffect.Ran(ran.answer(), false), effects);
                results.add(new ClaimResult(call.key, call.token, ran.answer(), call.claimBaseVersion));
            }
            case LedgerInput.NotRun notRun -> {
                answer(call, new LedgerEffect.NotRun(Reason.BACK_END_REFUSED), effects);
                results.add(new ClaimResult(call.key, call.token, null, call.claimBaseVersion));
            }
            case LedgerInput.Unknown unknown -> answer(call, new LedgerEffect.Unknown(), effects);
        }
        proceed(nowMs, effects);
    }

    void handleReply(long replyTag, StoreReply reply, long nowMs, List<LedgerEffect> effects) {
        if (replyTag != tag) {
            return;
        }
        boolean write = pendingImage != null;
        switch (reply) {
            case StoreReply.Found found ->
                decodeImage(found.object().value(), found.object().version(), nowMs, effects);
            case StoreReply.NotFound none -> setImage(new ShardImage(), ObjectStore.ABSENT);
            case StoreReply.Written done -> handleCommit(done.version());
            case StoreReply.Unavailable down -> handleUnavailable(nowMs, effects);
            case StoreReply.Conflict conflict -> stale = true;
            case StoreReply.Unknown unknown -> handleUnknownOutcome(write, nowMs);
            case StoreReply.Listed listed -> stale = true;
        }
        finishRequest();
        proceed(nowMs, effects);
    }

    void tick(long nowMs, List<LedgerEffect> effects) {
        if (tag != 0 && nowMs - requestMs >= STORE_TIMEOUT_MS) {
            handleUnknownOutcome(pendingImage != null, nowMs);
            finishRequest();
        }
        for (PendingCall call : List.copyOf(calls.values())) {
            if (nowMs >= call.deadlineMs && !call.answered) {
                expire(call, effects);
            } else if (nowMs - call.arrivedMs > RETENTION_MS) {
                calls.remove(call.callId);
            }
        }
        proceed(nowMs, effects);
    }

    private void expire(PendingCall call, List<LedgerEffect> effects) {
        if (call.sent) {
            // The call is kept, so that a late result is still recorded.
            answer(call, new LedgerEffect.Unknown(), effects);
            call.answered = true;
        } else {
            refuse(call, Reason.DEADLINE_EXCEEDED, effects);
        }
    }

    private void decodeImage(byte[] value, long readVersion, long nowMs, List<LedgerEffect> effects) {
        try {
            setImage(ShardImage.decode(value), readVersion);
        } catch (MalformedShardException e) {
            handleUnavailable(nowMs, effects);
        }
    }

    private void setImage(ShardImage read, long readVersion) {
        image = read;
        version = readVersion;
        imageReadMs = requestMs;
        stale = false;
        results.removeIf(r -> r.isObsolete(image, version) || (!isEnabled(Mechanism.FENCE) && !r.hasClaim(image)));
    }

    private void handleCommit(long newVersion) {
        if (pendingImage == null) {
            stale = true;
            return;
        }
        results.removeAll(pendingResults);
        setImage(pendingImage, newVersion);
    }

    private void handleUnknownOutcome(boolean write, long nowMs) {
        if (write && !isEnabled(Mechanism.READ_BACK)) {
            handleCommit(version + 1);
        } else {
            stale = true;
            notBeforeMs = nowMs + RETRY_MS;
        }
    }

    private void handleUnavailable(long nowMs, List<LedgerEffect> effects) {
        stale = true;
        notBeforeMs = nowMs + RETRY_MS;
        for (PendingCall call : List.copyOf(calls.values())) {
            if (!call.sent) {
                refuse(call, Reason.PLATFORM_UNAVAILABLE, effects);
            }
        }
    }

    private void finishRequest() {
        tag = 0;
        pendingImage = null;
        pendingResults = List.of();
    }

    /** Decides calls by the image and starts the next store request, unless one is already in flight. */
    private void proceed(long nowMs, List<LedgerEffect> effects) {
        if (tag != 0) {
            return;
        }
        if (!stale) {
            for (PendingCall call : List.copyOf(calls.values())) {
                decide(call, nowMs, effects);
            }
        }
        boolean waiting = calls.values().stream().anyMatch(c -> !c.sent);
        if (nowMs < notBeforeMs || (!waiting && results.isEmpty())) {
            return;
        }
        boolean poll =
                calls.values().stream().anyMatch(c -> c.waitsForOtherClaim) && nowMs - imageReadMs >= POLL_INTERVAL_MS;
        if (stale || poll) {
            request(new StoreRequest.Read(object), nowMs, effects);
        } else {
            write(nowMs, effects);
        }
    }

    private void decide(PendingCall call, long nowMs, List<LedgerEffect> effects) {
        LedgerRecord entry = image.get(call.key);
        if (call.sent || (isFree(entry, nowMs) && !isOwn(call, entry))) {
            call.waitsForOtherClaim = false;
        } else if (isOwn(call, entry)) {
            send(call, entry, nowMs, effects);
        } else if (!entry.digest().equals(call.digest) && isEnabled(Mechanism.DIGEST_CHECK)) {
            answerFromRecord(call, entry, new LedgerEffect.Conflict(), effects);
        } else if (entry.state() == State.DONE) {
            answerFromRecord(call, entry, new LedgerEffect.Ran(entry.answer(), true), effects);
        } else if (nowMs - entry.timeMs() >= CLAIM_VALIDITY_MS) {
            answerFromRecord(call, entry, new LedgerEffect.Unknown(), effects);
        } else {
            call.waitsForOtherClaim = true;
        }
    }

    /**
     * Answers from a record. A claim may have changed since the image was read, so if the image is older than the call,
     * the shard is read again first.
     */
    private void answerFromRecord(
            PendingCall call, LedgerRecord entry, LedgerEffect.Outcome outcome, List<LedgerEffect> effects) {
        if (entry.state() == State.DONE || imageReadMs >= call.arrivedMs) {
            remove(call);
            answer(call, outcome, effects);
        } else {
            stale = true;
        }
    }

    private void send(PendingCall call, LedgerRecord entry, long nowMs, List<LedgerEffect> effects) {
        long sendBefore = Math.min(call.deadlineMs, entry.timeMs() + CLAIM_VALIDITY_MS);
        if (nowMs < sendBefore) {
            call.sent = true;
            call.waitsForOtherClaim = false;
            effects.add(new LedgerEffect.Send(call.callId, sendBefore));
        } else {
            refuse(call, Reason.DEADLINE_EXCEEDED, effects);
        }
    }

    private void write(long nowMs, List<LedgerEffect> effects) {
        ShardImage next = image.copy();
        next.prune(nowMs - RETENTION_MS);
        boolean change = !results.isEmpty();
        results.forEach(r -> r.applyTo(next, nowMs));
        for (PendingCall call : List.copyOf(calls.values())) {
            if (call.sent || !isFree(next.get(call.key), nowMs)) {
                continue;
            }
            if (next.get(call.key) == null && !next.makeSpace()) {
                refuse(call, Reason.LEDGER_FULL, effects);
                continue;
            }
            change = true;
            call.claimBaseVersion = version;
            next.put(LedgerRecord.claim(call.key, call.digest, call.token, nowMs));
            if (!isEnabled(Mechanism.CLAIM_BEFORE_SEND)) {
                call.sent = true;
                effects.add(new LedgerEffect.Send(call.callId, call.deadlineMs));
            }
        }
        if (change) {
            next.dropBodies();
            pendingImage = next;
            pendingResults = List.copyOf(results);
            long expected = isEnabled(Mechanism.CONDITIONAL_UPDATE) ? version : -1;
            request(new StoreRequest.Write(object, expected, next.encode()), nowMs, effects);
        }
    }

    private void request(StoreRequest request, long nowMs, List<LedgerEffect> effects) {
        tag = nextTag.applyAsLong(this);
        requestMs = nowMs;
        effects.add(new LedgerEffect.Store(tag, request));
    }

    /** Ends a call that was not sent; if its claim may have been written, it is replaced by a "not run" record. */
    private void refuse(PendingCall call, Reason reason, List<LedgerEffect> effects) {
        remove(call);
        answer(call, call.waitsForOtherClaim ? new LedgerEffect.Unknown() : new LedgerEffect.NotRun(reason), effects);
    }

    private void remove(PendingCall call) {
        calls.remove(call.callId);
        if (call.claimBaseVersion != PendingCall.NOT_CLAIMED) {
            results.add(new ClaimResult(call.key, call.token, null, call.claimBaseVersion));
        }
    }

    private static void answer(PendingCall call, LedgerEffect.Outcome outcome, List<LedgerEffect> effects) {
        if (!call.answered) {
            effects.add(new LedgerEffect.Answer(call.callId, outcome));
        }
    }

    private static boolean isOwn(PendingCall call, LedgerRecord entry) {
        return entry != null && entry.token().equals(call.token) && entry.state() == State.CLAIMED;
    }

    private static boolean isFree(LedgerRecord entry, long nowMs) {
        return entry == null || entry.state() == State.NOT_RUN || nowMs - entry.timeMs() > RETENTION_MS;
    }

    private boolean isEnabled(Mechanism mechanism) {
        return mechanisms.contains(mechanism);
    }
}
