package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.core.SuspensionDetector;
import org.magnoliabridge.external.StoreRequest.Priority;
import org.magnoliabridge.external.StoreRunner;
import org.magnoliabridge.lease.LeaseCore;
import org.magnoliabridge.lease.LeaseEffect;
import org.magnoliabridge.lease.LeaseGate;
import org.magnoliabridge.lease.LeaseView;
import org.magnoliabridge.telemetry.LogFields;

/** Runs the lease core of one scope; used on the control thread only. */
final class LeaseDriver {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final int UNREADABLE_LOG_S = 10;

    private final String scope;
    private final LeaseCore core;
    private final ControlLoop loop;
    private final MonotonicClock clock;
    private final StoreRunner store;
    private final MetricRegistry metrics;
    private final SuspensionDetector suspensions;
    private final LeaseGate gate;
    private final CompletableFuture<Void> released = new CompletableFuture<>();
    private boolean releasing;
    private long handledSuspensions;

    LeaseDriver(
            String scope,
            LeaseCore core,
            ControlLoop loop,
            MonotonicClock clock,
            SuspensionDetector suspensions,
            StoreRunner store,
            MetricRegistry metrics) {
        this.scope = scope;
        this.core = core;
        this.loop = loop;
        this.clock = clock;
        this.store = store;
        this.metrics = metrics;
        this.suspensions = suspensions;
        this.gate = new LeaseGate(clock, suspensions);
    }

    /** Returns the scope of the lease. */
    String scope() {
        return scope;
    }

    /** Returns what the lease currently allows this process to do. */
    LeaseView view() {
        return releasing ? LeaseView.NOT_HELD : core.view();
    }

    /** Returns the gate that admits the calls under this lease. */
    LeaseGate gate() {
        return gate;
    }

    /** Handles a clock tick and sets whether this node is a candidate; called several times a second. */
    void tick(boolean candidate) {
        handleSuspension();
        core.setCandidate(candidate);
        execute(core.onTick(clock.nowMs()));
    }

    /** Releases the lease once the calls under it have ended; the result completes when the release has ended. */
    CompletableFuture<Void> release() {
        releasing = true;
        CompletableFuture<Void> unused =
                gate.close().thenRun(() -> loop.post(() -> execute(core.release(clock.nowMs()))));
        return released;
    }

    private void handleSuspension() {
        long detected = suspensions.detected();
        if (detected != handledSuspensions) {
            handledSuspensions = detected;
            metrics.counter("lease." + scope + ".suspensions").inc();
            LOG.atWarning().log(
                    "this process was suspended or the wall clock was set ahead; its term of lease %s ends, if any",
                    scope);
            execute(core.onSuspension(clock.nowMs()));
        }
    }

    private void execute(List<LeaseEffect> effects) {
        gate.update(core.view(), handledSuspensions);
        for (LeaseEffect effect : new ArrayList<>(effects)) {
            switch (effect) {
                case LeaseEffect.Call call ->
                    store.run(call.request(), Priority.LEASE, reply -> {
                        handleSuspension();
                        execute(core.onReply(clock.nowMs(), call.callId(), reply));
                    });
                case LeaseEffect.Acquired acquired -> {
                    metrics.counter("lease." + scope + ".acquired").inc();
                    LOG.atInfo()
                            .with(LogFields.FENCING, acquired.fencing().value())
                            .log(
                                    "acquired lease %s, first call in %d ms, replaced write %s",
                                    scope, acquired.sendFromMs() - clock.nowMs(), acquired.replacedWriter());
                }
                case LeaseEffect.MustStop stop -> {
                    metrics.counter("lease." + scope + ".ended").inc();
                    LOG.atInfo().with(LogFields.FENCING, stop.fencing().value()).log("lease %s ended", scope);
                }
                case LeaseEffect.Unreadable unreadable ->
                    LOG.atSevere().atMostEvery(UNREADABLE_LOG_S, TimeUnit.SECONDS).log(
                            "lease object %s is not a lease record; no node can acquire the lease", scope);
                case LeaseEffect.Released done -> released.complete(null);
            }
        }
    }
}
