package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.magnoliabridge.evacuation.EvacuationChange;
import org.magnoliabridge.evacuation.EvacuationCore;
import org.magnoliabridge.evacuation.EvacuationInput;
import org.magnoliabridge.evacuation.Evacuations;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.ObjectWatch;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.fleet.FleetEndpoint;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.routing.AdmissionInput;
import org.magnoliabridge.routing.Dispatcher;
import org.magnoliabridge.routing.EndpointInput;
import org.magnoliabridge.telemetry.LogFields;

/**
 * Follows the evacuations of data centres and passes them to routing; the core runs on the control thread.
 *
 * <p>In a deployment whose settings name no time for evacuations, none is ever in force and the store is not asked.
 */
final class EvacuationDriver implements ObjectWatch.Listener {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    // Pause after a change, so that a burst of changes costs one call.
    private static final long PAUSE_MS = 50;

    private final GatewayContext context;
    private final boolean enabled;
    private final EvacuationCore core = new EvacuationCore();
    private final Dispatcher dispatcher;
    private final Consumer<DataCentre> onEnd;
    private final Set<DataCentre> unknown = new HashSet<>();
    // Read by the metrics.
    private volatile Evacuations current;
    private volatile long currentAtMs;

    /**
     * Creates a driver.
     *
     * @param onEnd called on the control thread when the evacuation of a data centre has ended, before its endpoints
     *     are used; they may have become cold
     */
    EvacuationDriver(GatewayContext context, Dispatcher dispatcher, Consumer<DataCentre> onEnd) {
        this.context = context;
        this.dispatcher = dispatcher;
        this.onEnd = onEnd;
        this.enabled = context.settings().bounds().evacuateMs() > 0;
        this.current = enabled ? Evacuations.UNKNOWN : Evacuations.NONE;
        this.currentAtMs = context.clock().nowMs();
        if (enabled) {
            dispatcher.post(new AdmissionInput.Endpoints(new EndpointInput.Evacuated(current)));
            context.metrics()
                    .gauge(
                            "evacuation.data_centres",
                            () -> () -> current.dataCentres().size());
            context.metrics()
                    .gauge("evacuation.age_ms", () -> () -> context.clock().nowMs() - currentAtMs);
        }
    }

    /**
     * Returns the times of the watch. A poll over a connection that has gone silent ends early enough for another one,
     * through another node, in the time that an evacuation may take.
     *
     * @param evacuateMs time in which an evacuation must be in force
     */
    static ObjectWatch.Times watchTimes(long evacuateMs) {
        return new ObjectWatch.Times(evacuateMs * 2 / 5, PAUSE_MS, evacuateMs / 10);
    }

    /**
     * Returns the times of reads from a neighbour. The age of an answer, the pause to the next question and one failed
     * call of the store fit into the time that an evacuation may take.
     *
     * @param evacuateMs time in which an evacuation must be in force
     */
    static NeighbourReader.Times readTimes(long evacuateMs) {
        return new NeighbourReader.Times(evacuateMs * 3 / 10, evacuateMs / 4, evacuateMs / 10);
    }

    /** Returns whether the deployment has evacuations, so that this listener needs a watch. */
    boolean isEnabled() {
        return enabled;
    }

    /** Returns whether the evacuations have been read at least once, or there are none; control thread only. */
    boolean isLoaded() {
        return current.known();
    }

    /** Returns the evacuations in force; any thread may call. */
    Evacuations current() {
        return current;
    }

    /** Handles a clock tick; control thread only. */
    void tick(List<FleetEndpoint> endpoints) {
        handle(new EvacuationInput.Tick());
        warnOfUnknown(endpoints);
    }

    @Override
    public void listed(ObjectStore.Listing all) {
        List<EvacuationInput.Entry> entries = context.platform().evacuations(all);
        context.loop().post(() -> handleRead(new EvacuationInput.Listed(all.revision(), entries)));
    }

    @Override
    public void changed(ObjectStore.Listing changes) {
        List<EvacuationInput.Entry> entries = context.platform().evacuations(changes);
        context.loop().post(() -> handleRead(new EvacuationInput.Changed(changes.revision(), entries)));
    }

    @Override
    public void failed(PlatformException cause) {
        context.loop().post(() -> {
            if (!core.isStoreFailed()) {
                LOG.atWarning().withCause(cause).log(
                        "evacuation watch failed; the last known evacuations stay in force");
            }
            handle(new EvacuationInput.StoreUnreachable());
        });
    }

    private void handleRead(EvacuationInput input) {
        if (core.isStoreFailed()) {
            LOG.atInfo()
                    .with(LogFields.AGE_MS, core.ageMs(context.clock().nowMs()))
                    .log("evacuation watch recovered");
        }
        handle(input);
        currentAtMs = context.clock().nowMs();
    }

    private void handle(EvacuationInput input) {
        core.on(context.clock().nowMs(), input).forEach(this::log);
        if (!core.current().equals(current) && core.current().known()) {
            current = core.current();
            dispatcher.post(new AdmissionInput.Endpoints(new EndpointInput.Evacuated(current)));
        }
    }

    private void log(EvacuationChange change) {
        switch (change) {
            case EvacuationChange.Began began -> {
                context.metrics().counter("evacuation.begins").inc();
                LOG.atWarning()
                        .with(LogFields.DATA_CENTRE, began.dc().value())
                        .with(LogFields.VERSION, began.version())
                        .with(LogFields.AGE_MS, began.unreadMs())
                        .log("evacuation begins: the data centre's endpoints get no new work");
            }
            case EvacuationChange.Ended ended -> {
                onEnd.accept(ended.dc());
                context.metrics().counter("evacuation.ends").inc();
                LOG.atWarning()
                        .with(LogFields.DATA_CENTRE, ended.dc().value())
                        .with(LogFields.VERSION, ended.version())
                        .log("evacuation ends after %d ms: the data centre's endpoints return", ended.lastedMs());
            }
        }
    }

    // An operator's typing error would otherwise evacuate nothing without a trace.
    private void warnOfUnknown(List<FleetEndpoint> endpoints) {
        unknown.retainAll(current.dataCentres());
        if (current.dataCentres().isEmpty() || endpoints.isEmpty()) {
            return;
        }
        Set<DataCentre> served =
                endpoints.stream().map(e -> e.endpoint().dataCentre()).collect(Collectors.toSet());
        for (DataCentre dc : current.dataCentres()) {
            if (!served.contains(dc) && unknown.add(dc)) {
                LOG.atWarning()
                        .with(LogFields.DATA_CENTRE, dc.value())
                        .log("evacuated data centre has no endpoint; check its name");
            }
        }
    }
}
