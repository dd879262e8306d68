package org.magnoliabridge.lease;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;

/**
 * Decides when this process acquires, renews and releases the lease of one scope.
 *
 * <p>The lease is an object that is changed by conditional update only. A candidate acquires it once it has observed
 * the same version for the lease duration on its own clock. The holder measures the lease duration from the time before
 * it sent the renewal, so the lease expires for the holder before it expires for any candidate.
 *
 * <p>A process that acquires the lease after another node held it sends nothing until the lease duration and the
 * takeover wait have passed since it last held the lease, so that two nodes never take turns within that time. The
 * lease that an earlier process of the same node was using is acquired at once, since that process has ended.
 *
 * <pre>{@code
 * LeaseCore lease = new LeaseCore(
 *         new ObjectKey("leases/orders"), node, incarnation, LeaseSettings.DEFAULT, clock.nowMs());
 * lease.setCandidate(true);
 * List<LeaseEffect> effects = lease.onTick(clock.nowMs());
 * }</pre>
 */
public final class LeaseCore {
    // Store calls have a shorter deadline of their own; this timeout covers a reply that never arrives.
    private static final long CALL_TIMEOUT_MS = 2_500;

    private final ObjectKey key;
    private final NodeId self;
    private final Incarnation incarnation;
    private final LeaseSettings settings;
    private final Set<LeaseMechanism> disabled;

    private final UnconfirmedWrites unconfirmedWrites = new UnconfirmedWrites();
    private final List<LeaseEffect> effects = new ArrayList<>();
    private boolean candidate;
    private boolean releasing;
    private boolean released;
    private boolean readNeeded = true;
    private long version = ObjectStore.ABSENT;
    private Optional<LeaseRecord> observed = Optional.empty();
    private long observedSinceMs;
    private long highestFencing;
    private InFlight inFlight;
    private long nextCallId = 1;
    // Calls with lower ids were sent before the last suspension, so the time since then is unknown.
    private long firstTimedCallId = 1;
    private long nextActionMs = Long.MIN_VALUE;
    private LeaseView view = LeaseView.NOT_HELD;
    private long lastHeldMs;
    private long earliestSendMs = Long.MIN_VALUE;
    private String replacedWriter = "";

    /**
     * Creates a core that does not hold the lease.
     *
     * @param incarnation must be unique for every start of the node
     * @param startedMs when this process started; an earlier process of the node may have held the lease until then
     */
    public LeaseCore(ObjectKey key, NodeId self, Incarnation incarnation, LeaseSettings settings, long startedMs) {
        this(key, self, incarnation, settings, startedMs, EnumSet.noneOf(LeaseMechanism.class));
    }

    LeaseCore(
            ObjectKey key,
            NodeId self,
            Incarnation incarnation,
            LeaseSettings settings,
            long startedMs,
            Set<LeaseMechanism> off) {
        this.key = Objects.requireNonNull(key);
        this.self = Objects.requireNonNull(self);
        this.incarnation = Objects.requireNonNull(incarnation);
        this.settings = Objects.requireNonNull(settings);
        this.lastHeldMs = startedMs;
        this.disabled = Set.copyOf(off);
    }

    /** Returns the state of the lease; check {@link LeaseView#maySend} with the current time before each send. */
    public LeaseView view() {
        return view;
    }

    /** Sets whether this process may acquire the lease; a holder keeps renewing it if it is no longer a candidate. */
    public void setCandidate(boolean isCandidate) {
        candidate = isCandidate;
    }

    /** Stops sending and releases the lease for a shutdown; the last effect is {@link LeaseEffect.Released}. */
    public List<LeaseEffect> release(long nowMs) {
        releasing = true;
        nextActionMs = nowMs;
        stopSending(nowMs);
        sendNextCall(nowMs);
        return drainEffects();
    }

    /**
     * Handles a suspension of this process, and returns the resulting effects; must be called before any other input.
     *
     * <p>The clock may have stood still, so the end of the lease is unknown. The lease is acquired again if no other
     * process has acquired it.
     */
    public List<LeaseEffect> onSuspension(long nowMs) {
        stopSending(nowMs);
        firstTimedCallId = nextCallId;
        nextActionMs = nowMs;
        return drainEffects();
    }

    /** Handles the passing of time and returns the resulting effects; must be called several times a second. */
    public List<LeaseEffect> onTick(long nowMs) {
        expire(nowMs);
        if (inFlight != null && nowMs - inFlight.sentMs() >= CALL_TIMEOUT_MS) {
            handleReply(
                    nowMs,
                    inFlight,
                    inFlight.write().isPresent() ? new StoreReply.Unknown() : new StoreReply.Unavailable());
        }
        sendNextCall(nowMs);
        return drainEffects();
    }

    /** Handles the reply to a call and returns the resulting effects; ignores the reply to a call that timed out. */
    public List<LeaseEffect> onReply(long nowMs, long callId, StoreReply reply) {
        expire(nowMs);
        if (inFlight != null && inFlight.callId() == callId) {
            handleReply(nowMs, inFlight, reply);
            sendNextCall(nowMs);
        }
        return drainEffects();
    }

    private List<LeaseEffect> drainEffects() {
        List<LeaseEffect> taken = List.copyOf(effects);
        effects.clear();
        return taken;
    }

    private void expire(long nowMs) {
        if (view.held() && nowMs >= view.sendUntilMs()) {
            stopSending(nowMs);
        }
    }

    private void stopSending(long nowMs) {
        if (view.held()) {
            // Other threads may send until the end of this view, even while this input is handled.
            if (nowMs >= view.sendFromMs()) {
                lastHeldMs = view.sendUntilMs();
            }
            effects.add(new LeaseEffect.MustStop(view.fencing()));
            view = LeaseView.NOT_HELD;
        }
    }

    private void sendNextCall(long nowMs) {
        if (inFlight != null || nowMs < nextActionMs || released) {
            return;
        }
        boolean involved = candidate || releasing || view.held();
        if (readNeeded && involved) {
            call(nowMs, new StoreRequest.Read(key), Optional.empty());
        } else if (releasing) {
            actWhileReleasing(nowMs);
        } else if (view.held()) {
            write(nowMs, record(self.value(), view.fencing(), nowMs >= view.sendFromMs()));
        } else if (candidate && mayAcquire(nowMs)) {
            acquire(nowMs);
        } else if (candidate) {
            call(nowMs, new StoreRequest.Read(key), Optional.empty());
        }
    }

    private void acquire(long nowMs) {
        boolean heldByAnother = highestFencing > 0 && !isOwnLease() && !isOfEarlierProcess();
        if (heldByAnother && !isDisabled(LeaseMechanism.RETURN_WAIT)) {
            earliestSendMs = lastHeldMs + settings.durationMs() + settings.takeoverWaitMs();
        }
        replacedWriter = observed.map(LeaseRecord::writer).orElse("");
        write(nowMs, record(self.value(), nextFencing(), false));
    }

    private void actWhileReleasing(long nowMs) {
        if (isOwnLease()) {
            write(nowMs, record("", observed.orElseThrow().fencing(), false));
        } else {
            released = true;
            effects.add(new LeaseEffect.Released());
        }
    }

    private boolean isOwnLease() {
        return observed.filter(r -> r.holder().equals(self.value()) && r.incarnation() == incarnation.value())
                .isPresent();
    }

    // An earlier process of this node has ended, because a node runs one process at a time. If it was still waiting for
    // an earlier holder, this one has to wait as well.
    private boolean isOfEarlierProcess() {
        return observed.filter(r -> r.holder().equals(self.value()))
                .filter(r -> r.incarnation() < incarnation.value() && r.sending())
                .isPresent();
    }

    private boolean mayAcquire(long nowMs) {
        if (version == ObjectStore.ABSENT) {
            return true;
        }
        // The fencing token of an unreadable object is unknown, so acquiring the lease could reuse a token.
        if (observed.isEmpty()) {
            return false;
        }
        long waitMs = Math.max(observed.get().durationMs(), settings.durationMs());
        return observed.get().released() || isOwnLease() || isOfEarlierProcess() || nowMs - observedSinceMs >= waitMs;
    }

    private FencingToken nextFencing() {
        return new FencingToken(isDisabled(LeaseMechanism.FENCING) ? Math.max(highestFencing, 1) : highestFencing + 1);
    }

    private LeaseRecord record(String holder, FencingToken fencing, boolean sending) {
        String writer = self + "-" + incarnation + "-" + nextCallId;
        return new LeaseRecord(holder, incarnation.value(), fencing, settings.durationMs(), writer, sending);
    }

    private void write(long nowMs, LeaseRecord record) {
        UnconfirmedWrites.Attempt attempt = new UnconfirmedWrites.Attempt(record, version, nextCallId, nowMs);
        call(nowMs, new StoreRequest.Write(key, version, record.encode()), Optional.of(attempt));
    }

    private void call(long nowMs, StoreRequest request, Optional<UnconfirmedWrites.Attempt> attempt) {
        inFlight = new InFlight(nextCallId++, nowMs, attempt);
        effects.add(new LeaseEffect.Call(inFlight.callId(), request));
    }

    private void handleReply(long nowMs, InFlight call, StoreReply reply) {
        inFlight = null;
        readNeeded = false;
        nextActionMs = nowMs + settings.renewMs();
        switch (reply) {
            case StoreReply.Written written -> call.write().ifPresent(w -> onWritten(nowMs, w, written.version()));
            case StoreReply.Found found -> observe(nowMs, found);
            case StoreReply.NotFound absent -> observeAbsent(nowMs);
            case StoreReply.Conflict conflict -> scheduleRead(nowMs);
            case StoreReply.Unknown unknown -> onOutcomeUnknown(nowMs, call);
            case StoreReply.Unavailable unavailable -> scheduleRetry(nowMs, call);
            case StoreReply.Listed listed -> throw new IllegalStateException("unexpected list reply to a lease call");
        }
    }

    private void onWritten(long nowMs, UnconfirmedWrites.Attempt write, long newVersion) {
        recordVersion(nowMs, newVersion, Optional.of(write.record()));
        extendLease(nowMs, write);
    }

    private void recordVersion(long nowMs, long newVersion, Optional<LeaseRecord> record) {
        if (newVersion != version) {
            observedSinceMs = nowMs;
        }
        version = newVersion;
        observed = record;
        // Survives the deletion of the lease object, because a token must never be reused.
        highestFencing =
                Math.max(highestFencing, record.map(r -> r.fencing().value()).orElse(0L));
        unconfirmedWrites.retainExpecting(newVersion);
    }

    // The duration counts from the time of sending: no candidate can have observed the new version before that.
    private void extendLease(long nowMs, UnconfirmedWrites.Attempt write) {
        long marginMs = isDisabled(LeaseMechanism.MARGIN) ? 0 : settings.marginMs();
        long sendUntilMs = write.sentMs() + settings.durationMs() - marginMs;
        boolean timed = write.callId() >= firstTimedCallId;
        if (write.record().released() || releasing || !timed || nowMs >= sendUntilMs) {
            nextActionMs = nowMs;
            return;
        }
        FencingToken fencing = write.record().fencing();
        boolean renewal = view.held() && view.fencing().equals(fencing);
        long waitMs = isDisabled(LeaseMechanism.TAKEOVER_WAIT) ? 0 : settings.takeoverWaitMs();
        long sendFromMs = renewal ? view.sendFromMs() : Math.max(nowMs + waitMs, earliestSendMs);
        view = new LeaseView(true, fencing, sendFromMs, sendUntilMs);
        nextActionMs = write.sentMs() + settings.renewMs();
        if (!renewal) {
            effects.add(new LeaseEffect.Acquired(fencing, replacedWriter, sendFromMs));
        }
    }

    private void observe(long nowMs, StoreReply.Found found) {
        Optional<LeaseRecord> record = LeaseRecord.decode(found.object().value());
        Optional<UnconfirmedWrites.Attempt> own = record.flatMap(r -> unconfirmedWrites.find(r.writer()));
        recordVersion(nowMs, found.object().version(), record);
        if (record.isEmpty()) {
            effects.add(new LeaseEffect.Unreadable());
        }
        if (own.isPresent()) {
            extendLease(nowMs, own.get());
        } else if (view.held()
                && !(isOwnLease() && record.orElseThrow().fencing().equals(view.fencing()))) {
            stopSending(nowMs);
        } else if (view.held() || releasing || mayAcquire(nowMs)) {
            nextActionMs = nowMs;
        } else {
            long expiryMs = observedSinceMs
                    + Math.max(record.map(LeaseRecord::durationMs).orElse(0L), settings.durationMs());
            nextActionMs = Math.min(nextActionMs, Math.max(expiryMs, nowMs + settings.retryMs()));
        }
    }

    private void observeAbsent(long nowMs) {
        recordVersion(nowMs, ObjectStore.ABSENT, Optional.empty());
        stopSending(nowMs);
        nextActionMs = nowMs;
    }

    private void scheduleRead(long nowMs) {
        readNeeded = true;
        nextActionMs = nowMs;
    }

    private void onOutcomeUnknown(long nowMs, InFlight call) {
        if (call.write().isEmpty()) {
            scheduleRetry(nowMs, call);
        } else if (isDisabled(LeaseMechanism.READ_BACK)) {
            onWritten(nowMs, call.write().get(), call.write().get().expectedVersion() + 1);
        } else {
            unconfirmedWrites.add(call.write().get());
            scheduleRead(nowMs);
        }
    }

    private void scheduleRetry(long nowMs, InFlight call) {
        readNeeded = call.write().isEmpty();
        nextActionMs = nowMs + settings.retryMs();
    }

    private boolean isDisabled(LeaseMechanism mechanism) {
        return disabled.contains(mechanism);
    }

    private record InFlight(long callId, long sentMs, Optional<UnconfirmedWrites.Attempt> write) {}
}
