package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.magnoliabridge.bundle.BundleCore;
import org.magnoliabridge.bundle.BundleEffect;
import org.magnoliabridge.bundle.BundleInput;
import org.magnoliabridge.bundle.ConfigSnapshot;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.external.StoreRequest.Priority;
import org.magnoliabridge.external.StoreRunner;
import org.magnoliabridge.telemetry.LogFields;

/** Runs the bundle core on the control thread and provides the configuration in force to traffic threads. */
final class ConfigurationDriver {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final BundleCore core;
    private final MonotonicClock clock;
    private final StoreRunner store;
    private final Spreader spreader;
    private final MetricRegistry metrics;
    private final List<Consumer<ConfigSnapshot>> listeners = new CopyOnWriteArrayList<>();
    private volatile ConfigSnapshot snapshot = ConfigSnapshot.EMPTY;

    /** Spreads accepted configuration to the other members. */
    interface Spreader {
        void spreadBundle(long version, byte[] payload);

        void spreadWithdrawals(long version, byte[] payload);
    }

    ConfigurationDriver(
            BundleCore core, MonotonicClock clock, StoreRunner store, Spreader spreader, MetricRegistry metrics) {
        this.core = core;
        this.clock = clock;
        this.store = store;
        this.spreader = spreader;
        this.metrics = metrics;
    }

    /** Returns the configuration in force; any thread may call. */
    ConfigSnapshot snapshot() {
        return snapshot;
    }

    /** Adds a listener that is called on the control thread when the bundle or the withdrawals change. */
    void onChange(Consumer<ConfigSnapshot> listener) {
        listeners.add(listener);
    }

    /** Returns the core, for its versions and its last confirmation; control thread only. */
    BundleCore core() {
        return core;
    }

    /** Passes an input to the core and executes its effects; control thread only. */
    void handle(BundleInput input) {
        for (BundleEffect effect : core.handle(input, clock.nowMs())) {
            execute(effect);
        }
    }

    private void execute(BundleEffect effect) {
        switch (effect) {
            case BundleEffect.Publish publish -> publish(publish.snapshot());
            case BundleEffect.Call call ->
                store.run(
                        call.request(),
                        Priority.DECISION,
                        reply -> handle(new BundleInput.Answered(call.callId(), reply)));
            case BundleEffect.BroadcastBundle spread -> spreader.spreadBundle(spread.version(), spread.payload());
            case BundleEffect.BroadcastWithdrawals spread ->
                spreader.spreadWithdrawals(spread.version(), spread.payload());
            case BundleEffect.Reject reject -> {
                metrics.counter("bundle.rejected." + reject.reason()).inc();
                LOG.atWarning()
                        .with(LogFields.FAILURE, reject.reason().name())
                        .log("rejected configuration from %s", reject.source());
            }
        }
    }

    private void publish(ConfigSnapshot next) {
        ConfigSnapshot previous = snapshot;
        snapshot = next;
        if (!previous.bundle().equals(next.bundle()) || !previous.withdrawals().equals(next.withdrawals())) {
            LOG.atInfo()
                    .with(LogFields.VERSION, core.bundleVersion())
                    .log("configuration in force, withdrawals version %d", core.withdrawalsVersion());
            listeners.forEach(listener -> listener.accept(next));
        }
    }
}
