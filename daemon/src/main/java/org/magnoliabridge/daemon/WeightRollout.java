package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.magnoliabridge.external.EngineOrders;
import org.magnoliabridge.external.EngineReports;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.ObjectWatch;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.fleet.FleetEndpoint;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.orders.OrderOutcome;
import org.magnoliabridge.orders.OrderSender;
import org.magnoliabridge.orders.WeightsCore;
import org.magnoliabridge.orders.WeightsEffect;
import org.magnoliabridge.orders.WeightsInput;
import org.magnoliabridge.routing.Endpoint;
import org.magnoliabridge.telemetry.LogFields;

/** Rolls out new weights to the engines while this node holds the duties lease; the core runs on the control thread. */
final class WeightRollout implements ObjectWatch.Listener {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    // A load takes about a second, and a waiting item starts only with the first report that the load has ended.
    private static final long REPORT_POLL_MS = 200;
    // An order without effect for this long is no longer treated as loading and is sent again.
    private static final long LOAD_TIMEOUT_MS = 4_000;
    // Reports lag by some hundred milliseconds; after this delay they show an order that the engine executes.
    private static final long REPORT_DELAY_MS = 800;

    private final GatewayContext context;
    private final WeightsCore core;
    private final LeaseDriver lease;
    private final EngineOrders orders;
    private final OrderSender sender;
    private final EngineReports reports;
    private final KnownWeights known;
    // Accessed on the control thread only.
    private final Map<EndpointId, Endpoint> endpoints = new HashMap<>();
    private final Map<ModelId, WeightVersion> newest = new HashMap<>();
    private final Map<EndpointId, Long> polledAtMs = new HashMap<>();
    private final Map<EndpointId, Long> orderedAtMs = new HashMap<>();
    private final Map<EndpointId, WeightsEffect.Load> loading = new HashMap<>();
    private List<FleetEndpoint> appliedFleet = List.of();

    WeightRollout(
            GatewayContext context,
            WeightsCore core,
            LeaseDriver lease,
            EngineOrders orders,
            EngineReports reports,
            KnownWeights known) {
        this.context = context;
        this.core = core;
        this.lease = lease;
        this.orders = orders;
        this.sender = new OrderSender(lease.gate());
        this.reports = reports;
        this.known = known;
    }

    /** Returns the newest version of each model; control thread only. */
    Map<ModelId, WeightVersion> newest() {
        return newest;
    }

    /** Returns the models whose weights an engine is loading; control thread only. */
    Set<ModelId> loadingModels(EndpointId engine) {
        WeightsEffect.Load load = loading.get(engine);
        return load == null ? Set.of() : Set.of(load.model());
    }

    /** Sets the slot time that the open items of each model still need, in milliseconds; control thread only. */
    void setDemand(Map<ModelId, Double> slotMs) {
        for (ModelId model : newest.keySet()) {
            handle(new WeightsInput.Demand(model, slotMs.getOrDefault(model, 0.0)));
        }
    }

    /** Sets the endpoints of the fleet; draining ones get no orders. Control thread only. */
    void fleetChanged(List<FleetEndpoint> fleet) {
        // Without a published version there is nothing to load, and a node that is no candidate knows none.
        if (newest.isEmpty() && fleet.equals(appliedFleet)) {
            return;
        }
        appliedFleet = fleet;
        List<WeightsInput.Engine> engines = new ArrayList<>();
        endpoints.clear();
        for (FleetEndpoint e : fleet) {
            if (!e.draining()) {
                endpoints.put(e.endpoint().id(), e.endpoint());
                e.weights()
                        .keySet()
                        .forEach(model -> engines.add(new WeightsInput.Engine(
                                e.endpoint().id(), e.endpoint().service(), model, true)));
            }
        }
        loading.keySet().retainAll(endpoints.keySet());
        handle(new WeightsInput.Engines(engines));
        for (FleetEndpoint e : fleet) {
            known.of(e)
                    .forEach((model, version) ->
                            handle(new WeightsInput.Reported(e.endpoint().id(), model, version)));
        }
    }

    /** Sets the oldest weight version that a model's batches may use; control thread only. */
    void setAllowedLag(ModelId model, WeightVersion oldestAllowed) {
        WeightVersion target = newest.get(model);
        if (target != null) {
            handle(new WeightsInput.Lag(model, (int) Math.max(0, target.value() - oldestAllowed.value())));
        }
    }

    /** Lets the core act on its timers and polls the engines that are loading; control thread only. */
    void tick() {
        handle(new WeightsInput.Tick());
        long nowMs = context.clock().nowMs();
        loading.values().removeIf(l -> nowMs - orderedAtMs.getOrDefault(l.engine(), 0L) > LOAD_TIMEOUT_MS);
        for (EndpointId engine : List.copyOf(loading.keySet())) {
            if (nowMs - polledAtMs.getOrDefault(engine, 0L) >= REPORT_POLL_MS) {
                polledAtMs.put(engine, nowMs);
                pollReport(endpoints.get(engine));
            }
        }
    }

    @Override
    public void listed(ObjectStore.Listing all) {
        changed(all);
    }

    @Override
    public void changed(ObjectStore.Listing changes) {
        Map<ModelId, WeightVersion> published = context.platform().weights(changes);
        context.loop().post(() -> published.forEach(this::versionPublished));
    }

    @Override
    public void failed(PlatformException cause) {
        LOG.atInfo().withCause(cause).log("watch of weight versions failed");
    }

    private void versionPublished(ModelId model, WeightVersion version) {
        WeightVersion before = newest.put(model, version);
        if (!version.equals(before)) {
            LOG.atInfo()
                    .with(LogFields.MODEL, model.value())
                    .with(LogFields.VERSION, version.value())
                    .log("new weight version published");
        }
        handle(new WeightsInput.Newest(model, version));
    }

    private void pollReport(Endpoint engine) {
        Thread.ofVirtual().name("engine-report").start(() -> {
            try {
                EngineReports.Report report = reports.report(engine.id(), engine.socketAddress());
                context.loop().post(() -> reported(engine, report));
            } catch (PlatformException e) {
                LOG.atFine()
                        .withCause(e)
                        .with(LogFields.ENDPOINT, engine.id().value())
                        .log("cannot fetch engine report");
            }
        });
    }

    private void reported(Endpoint engine, EngineReports.Report report) {
        WeightsEffect.Load load = loading.get(engine.id());
        if (load != null && !report.busy()) {
            WeightVersion held = report.weights().get(load.model());
            boolean done = held != null && !load.version().isAfter(held);
            boolean notExecuted =
                    context.clock().nowMs() - orderedAtMs.getOrDefault(engine.id(), 0L) >= REPORT_DELAY_MS;
            if (done || notExecuted) {
                loading.remove(engine.id());
            }
        }
        known.recordReport(engine, report.weights());
        report.weights().forEach((model, version) -> handle(new WeightsInput.Reported(engine.id(), model, version)));
    }

    private void handle(WeightsInput input) {
        for (WeightsEffect effect : core.on(context.clock().nowMs(), lease.view(), input)) {
            carryOut(effect);
        }
    }

    private void carryOut(WeightsEffect effect) {
        switch (effect) {
            case WeightsEffect.Load load -> load(load);
            case WeightsEffect.RequestPermit request ->
                throw new IllegalStateException("unexpected permit request: loads need no permit here");
            case WeightsEffect.Exclude exclude ->
                LOG.atWarning()
                        .with(LogFields.ENDPOINT, exclude.engine().value())
                        .with(LogFields.VERSION, exclude.version().value())
                        .log("engine excluded from roll-outs: it cannot load the version");
            case WeightsEffect.Reinstate reinstate ->
                LOG.atInfo()
                        .with(LogFields.ENDPOINT, reinstate.engine().value())
                        .log("engine reinstated for roll-outs");
            case WeightsEffect.Halted halted ->
                LOG.atSevere()
                        .with(LogFields.MODEL, halted.model().value())
                        .with(LogFields.VERSION, halted.version().value())
                        .log("roll-out halted");
            case WeightsEffect.Completed done -> {
                context.metrics().histogram("weights.rollout_ms").update(done.tookMs());
                LOG.atInfo()
                        .with(LogFields.MODEL, done.model().value())
                        .with(LogFields.VERSION, done.version().value())
                        .log("all engines have loaded the version after %d ms", done.tookMs());
            }
        }
    }

    private void load(WeightsEffect.Load load) {
        Endpoint engine = endpoints.get(load.engine());
        if (engine == null) {
            sent(load, OrderOutcome.NOT_SENT);
            return;
        }
        loading.put(load.engine(), load);
        orderedAtMs.put(load.engine(), context.clock().nowMs());
        Thread.ofVirtual().name("weight-order").start(() -> {
            OrderOutcome outcome = order(engine, load);
            context.loop().post(() -> sent(load, outcome));
        });
    }

    private void sent(WeightsEffect.Load load, OrderOutcome outcome) {
        LOG.atInfo()
                .with(LogFields.ENDPOINT, load.engine().value())
                .with(LogFields.MODEL, load.model().value())
                .with(LogFields.VERSION, load.version().value())
                .with(LogFields.FENCING, load.fencing().value())
                .log("outcome of the order to load weights: %s", outcome);
        context.metrics().counter("weights.orders." + outcome).inc();
        if (outcome != OrderOutcome.ACCEPTED && outcome != OrderOutcome.UNKNOWN) {
            loading.remove(load.engine(), load);
        }
        handle(new WeightsInput.Sent(load.orderId(), load.engine(), load.model(), outcome));
    }

    // Sends the engine's count of accepted orders along, so that a delayed order cannot undo a later one.
    private OrderOutcome order(Endpoint engine, WeightsEffect.Load load) {
        try {
            EngineReports.Report report = reports.report(engine.id(), engine.socketAddress());
            context.loop().post(() -> reported(engine, report));
            Optional<WeightVersion> held = Optional.ofNullable(report.weights().get(load.model()));
            if (held.isPresent() && !load.version().isAfter(held.get())) {
                return OrderOutcome.ACCEPTED;
            }
            if (report.busy()) {
                return OrderOutcome.REFUSED;
            }
            OptionalLong expectedOrders = OptionalLong.of(report.ordersAccepted());
            return sender.send(
                    load.fencing(),
                    permit -> orders.loadVersion(new EngineOrders.Load(
                            load.engine(),
                            engine.socketAddress(),
                            load.orderId(),
                            load.model(),
                            permit,
                            load.version(),
                            expectedOrders)));
        } catch (PlatformException e) {
            LOG.atInfo()
                    .withCause(e)
                    .with(LogFields.ENDPOINT, engine.id().value())
                    .log("cannot fetch engine report; load order not sent");
            return OrderOutcome.NOT_SENT;
        }
    }
}
