package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.magnoliabridge.bundle.Service;
import org.magnoliabridge.calls.EngineAdapter;
import org.magnoliabridge.calls.EngineFailure;
import org.magnoliabridge.calls.LoadReport;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.external.EngineOrders;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.WeightStore;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.orders.OrderOutcome;
import org.magnoliabridge.orders.OrderSender;
import org.magnoliabridge.orders.WeightsCore;
import org.magnoliabridge.orders.WeightsEffect;
import org.magnoliabridge.orders.WeightsInput;
import org.magnoliabridge.orders.WeightsInput.PermitOutcome;
import org.magnoliabridge.routing.AdmissionInput;
import org.magnoliabridge.routing.Dispatcher;
import org.magnoliabridge.routing.Endpoint;
import org.magnoliabridge.settings.SocketAddresses;
import org.magnoliabridge.telemetry.LogFields;

/** Rolls out weights while this node holds the lease: core on the control thread, calls on virtual threads. */
final class WeightsDriver {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    // Engines that are up to date are polled rarely: only a restart can change their version.
    private static final int FULL_POLL_EVERY = 40;
    private static final int POLLS_PER_SECOND = 4;

    private final WeightsCore core;
    private final LeaseDriver lease;
    private final WeightStore weights;
    private final EngineOrders orders;
    private final OrderSender sender;
    private final EngineAdapter engines;
    private final Dispatcher dispatcher;
    private final ControlLoop loop;
    private final MonotonicClock clock;
    private final MetricRegistry metrics;
    private final Map<EndpointId, InetSocketAddress> addresses = new HashMap<>();
    private final Map<EndpointId, WeightVersion> reported = new HashMap<>();
    private final Map<ServiceId, WeightVersion> newest = new HashMap<>();
    private final Set<EndpointId> polling = new HashSet<>();
    private long polls;

    WeightsDriver(
            WeightsCore core,
            LeaseDriver lease,
            WeightStore weights,
            EngineOrders orders,
            EngineAdapter engines,
            Dispatcher dispatcher,
            ControlLoop loop,
            MonotonicClock clock,
            MetricRegistry metrics) {
        this.core = core;
        this.lease = lease;
        this.weights = weights;
        this.orders = orders;
        this.sender = new OrderSender(lease.gate());
        this.engines = engines;
        this.dispatcher = dispatcher;
        this.loop = loop;
        this.clock = clock;
        this.metrics = metrics;
    }

    /** Lets the core act on its timers; called several times a second, control thread only. */
    void tick() {
        handle(new WeightsInput.Tick());
    }

    /** Polls for new versions and the engines that are behind; called four times a second, control thread only. */
    void poll(Map<Service, List<Endpoint>> engineList) {
        if (!lease.view().held()) {
            return;
        }
        polls++;
        boolean wholeSecond = polls % POLLS_PER_SECOND == 0;
        List<WeightsInput.Engine> all = new ArrayList<>();
        addresses.clear();
        engineList.forEach((service, endpoints) -> {
            boolean sampler = service.priority() == Service.Priority.TRAINING;
            if (wholeSecond) {
                Thread.ofVirtual().start(() -> fetchNewest(service.id()));
            }
            for (Endpoint endpoint : endpoints) {
                all.add(new WeightsInput.Engine(endpoint.id(), service.id(), model(service.id()), sampler));
                SocketAddresses.parse(endpoint.address()).ifPresent(a -> addresses.put(endpoint.id(), a));
            }
        });
        handle(new WeightsInput.Engines(all));
        boolean full = polls % FULL_POLL_EVERY == 0;
        all.stream()
                .filter(e -> full || isBehind(e))
                .filter(e -> polling.add(e.id()))
                .forEach(e -> startPoll(e, addresses.get(e.id())));
    }

    private boolean isBehind(WeightsInput.Engine engine) {
        WeightVersion known = reported.get(engine.id());
        WeightVersion target = newest.get(engine.service());
        return known == null || (target != null && target.isAfter(known));
    }

    // On this node type a model service serves exactly one model, which has the name of the service.
    private static ModelId model(ServiceId service) {
        return new ModelId(service.value());
    }

    private void fetchNewest(ServiceId service) {
        try {
            WeightVersion version = weights.newest(service);
            loop.post(() -> {
                newest.put(service, version);
                handle(new WeightsInput.Newest(model(service), version));
            });
        } catch (PlatformException e) {
            metrics.counter("weights.store_failures").inc();
        }
    }

    private void startPoll(WeightsInput.Engine engine, InetSocketAddress address) {
        Thread.ofVirtual().start(() -> pollEngine(engine, address));
    }

    private void pollEngine(WeightsInput.Engine engine, InetSocketAddress address) {
        try {
            LoadReport report = engines.fetchLoad(address);
            dispatcher.post(new AdmissionInput.Reported(engine.id(), report));
            loop.post(() -> {
                polling.remove(engine.id());
                reported.put(engine.id(), report.version());
                handle(new WeightsInput.Reported(engine.id(), engine.model(), report.version()));
            });
        } catch (EngineFailure e) {
            loop.post(() -> polling.remove(engine.id()));
        }
    }

    private void handle(WeightsInput input) {
        for (WeightsEffect effect : core.on(clock.nowMs(), lease.view(), input)) {
            carryOut(effect);
        }
    }

    private void carryOut(WeightsEffect effect) {
        switch (effect) {
            case WeightsEffect.RequestPermit request -> Thread.ofVirtual().start(() -> requestPermit(request));
            case WeightsEffect.Load load -> load(load);
            case WeightsEffect.Exclude exclude -> {
                metrics.counter("weights.taken_out").inc();
                LOG.atWarning()
                        .with(LogFields.ENDPOINT, exclude.engine().value())
                        .with(LogFields.VERSION, exclude.version().value())
                        .log("engine excluded from roll-outs: it cannot load the version");
            }
            case WeightsEffect.Reinstate reinstate ->
                LOG.atInfo()
                        .with(LogFields.ENDPOINT, reinstate.engine().value())
                        .log("engine reinstated for roll-outs");
            case WeightsEffect.Halted halted -> {
                metrics.counter("weights.halted").inc();
                LOG.atSevere()
                        .with(LogFields.SERVICE, halted.model().value())
                        .with(LogFields.VERSION, halted.version().value())
                        .log("roll-out halted: too many engines cannot load the version");
            }
            case WeightsEffect.Completed done -> {
                metrics.histogram("weights.rollout_ms").update(done.tookMs());
                LOG.atInfo()
                        .with(LogFields.SERVICE, done.model().value())
                        .with(LogFields.VERSION, done.version().value())
                        .log("all engines report the version after %d ms", done.tookMs());
            }
        }
    }

    private void requestPermit(WeightsEffect.RequestPermit request) {
        PermitOutcome outcome = PermitOutcome.GRANTED;
        long retryAfterMs = 0;
        try {
            weights.permitLoad(request.service(), request.version());
        } catch (PlatformException.RateLimited e) {
            outcome = PermitOutcome.RATE_LIMITED;
            retryAfterMs = e.retryAfterMs();
        } catch (PlatformException e) {
            outcome = PermitOutcome.FAILED;
        }
        WeightsInput input =
                new WeightsInput.Permit(request.engine(), request.model(), request.version(), outcome, retryAfterMs);
        loop.post(() -> handle(input));
    }

    private void load(WeightsEffect.Load load) {
        InetSocketAddress address = addresses.get(load.engine());
        Thread.ofVirtual().start(() -> {
            OrderOutcome outcome = address == null ? OrderOutcome.NOT_SENT : send(address, load);
            loop.post(() -> handle(new WeightsInput.Sent(load.orderId(), load.engine(), load.model(), outcome)));
        });
    }

    private OrderOutcome send(InetSocketAddress engine, WeightsEffect.Load load) {
        return sender.send(
                load.fencing(),
                permit -> orders.loadVersion(new EngineOrders.Load(
                        load.engine(),
                        engine,
                        load.orderId(),
                        load.model(),
                        permit,
                        load.version(),
                        OptionalLong.empty())));
    }
}
