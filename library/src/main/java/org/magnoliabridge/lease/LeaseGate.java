package org.magnoliabridge.lease;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.core.SuspensionDetector;
import org.magnoliabridge.external.CallPermit;
import org.magnoliabridge.ids.FencingToken;

/**
 * Admits the calls that this process makes under a lease; any thread may use it.
 *
 * <p>A call begins only while the lease allows it, and the lease is released only after the calls under way have ended.
 *
 * <pre>{@code
 * Optional<CallPermit> permit = gate.admit(fencing);
 * }</pre>
 */
public final class LeaseGate {
    private final MonotonicClock clock;
    private final SuspensionDetector suspensions;
    private final CompletableFuture<Void> idle = new CompletableFuture<>();
    private LeaseView view = LeaseView.NOT_HELD;
    private long suspensionsOfView;
    private boolean closed;
    private int callsUnderWay;

    public LeaseGate(MonotonicClock clock, SuspensionDetector suspensions) {
        this.clock = Objects.requireNonNull(clock);
        this.suspensions = Objects.requireNonNull(suspensions);
    }

    /**
     * Sets the state of the lease.
     *
     * @param suspensionsBefore the number of suspensions detected before the state was determined
     */
    public synchronized void update(LeaseView newView, long suspensionsBefore) {
        view = newView;
        suspensionsOfView = suspensionsBefore;
    }

    /** Returns a permit for a call that was decided under a fencing token; empty if the call must not be sent. */
    public synchronized Optional<CallPermit> admit(FencingToken fencing) {
        if (!allows(fencing)) {
            return Optional.empty();
        }
        callsUnderWay++;
        return Optional.of(new Permit(fencing));
    }

    /** Admits no more calls; the result completes when the calls under way have ended. */
    public synchronized CompletableFuture<Void> close() {
        closed = true;
        completeIfIdle();
        return idle;
    }

    private synchronized boolean allows(FencingToken fencing) {
        return !closed
                && view.fencing().equals(fencing)
                && view.maySend(clock.nowMs())
                && suspensions.detected() == suspensionsOfView;
    }

    private synchronized void ended() {
        callsUnderWay--;
        completeIfIdle();
    }

    private void completeIfIdle() {
        if (closed && callsUnderWay == 0) {
            idle.complete(null);
        }
    }

    private final class Permit implements CallPermit {
        private final FencingToken fencing;
        private boolean open = true;

        Permit(FencingToken fencing) {
            this.fencing = fencing;
        }

        @Override
        public FencingToken fencing() {
            return fencing;
        }

        @Override
        public boolean isValid() {
            return allows(fencing);
        }

        @Override
        public void close() {
            synchronized (LeaseGate.this) {
                if (open) {
                    open = false;
                    ended();
                }
            }
        }
    }
}
