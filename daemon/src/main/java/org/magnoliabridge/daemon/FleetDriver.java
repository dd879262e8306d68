package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.function.Consumer;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.ObjectWatch;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.fleet.FleetCore;
import org.magnoliabridge.fleet.FleetEndpoint;
import org.magnoliabridge.fleet.FleetInput;
import org.magnoliabridge.routing.AdmissionInput;
import org.magnoliabridge.routing.Dispatcher;
import org.magnoliabridge.routing.EndpointInput;
import org.magnoliabridge.telemetry.LogFields;

/** Watches the endpoint list and passes it to routing and other listeners; the core runs on the control thread. */
final class FleetDriver implements ObjectWatch.Listener {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final GatewayContext context;
    private final FleetCore core = new FleetCore();
    private final Dispatcher dispatcher;
    private final WarmUpDriver warmUp;
    private final List<Consumer<List<FleetEndpoint>>> listeners = new ArrayList<>();
    private boolean reachable = true;

    FleetDriver(GatewayContext context, Dispatcher dispatcher, WarmUpDriver warmUp) {
        this.context = context;
        this.dispatcher = dispatcher;
        this.warmUp = warmUp;
    }

    /** Adds a listener that is called on the control thread with each changed list. */
    void onChange(Consumer<List<FleetEndpoint>> listener) {
        listeners.add(listener);
    }

    /** Returns whether the list has been read at least once; control thread only. */
    boolean isLoaded() {
        return core.isLoaded();
    }

    /** Returns the endpoints; control thread only. */
    List<FleetEndpoint> endpoints() {
        return core.endpoints();
    }

    /** Handles a clock tick; control thread only. */
    void tick() {
        handle(new FleetInput.Tick());
    }

    @Override
    public void listed(ObjectStore.Listing all) {
        List<FleetInput.Entry> entries = context.platform().fleet(all);
        context.loop().post(() -> handleReachable(new FleetInput.Listed(all.revision(), entries)));
    }

    @Override
    public void changed(ObjectStore.Listing changes) {
        List<FleetInput.Entry> entries = context.platform().fleet(changes);
        context.loop().post(() -> handleReachable(new FleetInput.Changed(changes.revision(), entries)));
    }

    @Override
    public void failed(PlatformException cause) {
        context.loop().post(() -> {
            if (reachable) {
                reachable = false;
                LOG.atWarning().withCause(cause).log("endpoint list watch failed; retrying");
            }
            handle(new FleetInput.StoreUnreachable());
        });
    }

    private void handleReachable(FleetInput input) {
        if (!reachable) {
            reachable = true;
            LOG.atInfo()
                    .with(LogFields.AGE_MS, core.ageMs(context.clock().nowMs()))
                    .log("endpoint list watch recovered");
        }
        handle(input);
    }

    private void handle(FleetInput input) {
        if (core.on(context.clock().nowMs(), input)) {
            publish();
        }
    }

    private void publish() {
        List<FleetEndpoint> endpoints = core.endpoints();
        LOG.atInfo()
                .with(LogFields.VERSION, core.revision())
                .with(LogFields.COUNT, (long) endpoints.size())
                .log("endpoints changed: %s", summary(endpoints));
        warmUp.listed(endpoints);
        List<EndpointInput.ListedEndpoint> listed = endpoints.stream()
                .map(e -> new EndpointInput.ListedEndpoint(e.endpoint(), e.draining(), OptionalInt.of(e.slots())))
                .toList();
        dispatcher.post(new AdmissionInput.Endpoints(new EndpointInput.Listed(listed)));
        // Posted after the update of the endpoint table, so that listeners see the table's new state.
        context.loop().post(() -> listeners.forEach(l -> l.accept(endpoints)));
    }

    private static String summary(List<FleetEndpoint> endpoints) {
        StringBuilder text = new StringBuilder();
        for (FleetEndpoint e : endpoints) {
            text.append(text.isEmpty() ? "" : " ").append(e.endpoint().id());
            text.append(e.draining() ? "(leaving)" : "");
            e.weights().values().forEach(v -> text.append('@').append(v));
        }
        return text.toString();
    }
}
