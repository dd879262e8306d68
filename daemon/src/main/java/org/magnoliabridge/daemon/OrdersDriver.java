package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.external.EndpointOrder;
import org.magnoliabridge.external.EndpointOrders;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.StoreRequest.Priority;
import org.magnoliabridge.external.StoreRunner;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.orders.OrderOutcome;
import org.magnoliabridge.orders.OrderSender;
import org.magnoliabridge.orders.OrdersCore;
import org.magnoliabridge.orders.OrdersEffect;
import org.magnoliabridge.orders.OrdersInput;
import org.magnoliabridge.telemetry.LogFields;

/** Runs the orders core under its lease; the core runs on the control thread, calls run on virtual threads. */
final class OrdersDriver {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final OrdersCore core;
    private final LeaseDriver lease;
    private final EndpointOrders orders;
    private final OrderSender sender;
    private final ControlLoop loop;
    private final MonotonicClock clock;
    private final StoreRunner store;
    private final MetricRegistry metrics;
    private final Consumer<EndpointId> refusalListener;

    /**
     * Creates a driver.
     *
     * @param refusalListener called on the control thread with each endpoint whose order was refused
     */
    OrdersDriver(
            OrdersCore core,
            LeaseDriver lease,
            EndpointOrders orders,
            ControlLoop loop,
            MonotonicClock clock,
            StoreRunner store,
            MetricRegistry metrics,
            Consumer<EndpointId> refusalListener) {
        this.core = core;
        this.lease = lease;
        this.orders = orders;
        this.sender = new OrderSender(lease.gate());
        this.loop = loop;
        this.clock = clock;
        this.store = store;
        this.metrics = metrics;
        this.refusalListener = refusalListener;
    }

    /** Passes an input to the core and performs the resulting effects; control thread only. */
    void handle(OrdersInput input) {
        for (OrdersEffect effect : core.on(clock.nowMs(), lease.view(), input)) {
            carryOut(effect);
        }
    }

    private void carryOut(OrdersEffect effect) {
        switch (effect) {
            case OrdersEffect.Call call ->
                store.run(
                        call.request(),
                        Priority.DECISION,
                        reply -> handle(new OrdersInput.StoreReplied(call.callId(), reply)));
            case OrdersEffect.ListEndpoints list -> Thread.ofVirtual().start(() -> list(list.callId()));
            case OrdersEffect.Send send -> Thread.ofVirtual().start(() -> send(send));
            case OrdersEffect.Refused refused -> {
                metrics.counter("orders.refused").inc();
                refusalListener.accept(refused.endpoint());
            }
            case OrdersEffect.StaleOrderSeen stale -> {
                metrics.counter("orders.stale_seen").inc();
                LOG.atWarning()
                        .with(LogFields.ENDPOINT, stale.endpoint().value())
                        .log("endpoint state differs from the last accepted order; sending the order again");
            }
            case OrdersEffect.Superseded superseded -> {
                metrics.counter("orders.superseded").inc();
                LOG.atWarning()
                        .with(LogFields.FENCING, superseded.fencing().value())
                        .log("superseded by a higher fencing token; this process sends no more orders");
            }
        }
    }

    private void list(long callId) {
        Optional<List<EndpointOrder>> endpoints;
        try {
            endpoints = Optional.of(orders.list());
        } catch (PlatformException e) {
            endpoints = Optional.empty();
        }
        OrdersInput input = new OrdersInput.EndpointsListed(callId, endpoints);
        loop.post(() -> handle(input));
    }

    private void send(OrdersEffect.Send send) {
        OrderOutcome outcome =
                sender.send(send.fencing(), permit -> orders.order(send.order(), send.orderId(), permit));
        metrics.counter("orders.sent." + outcome).inc();
        loop.post(() -> handle(new OrdersInput.Sent(send.orderId(), outcome)));
    }
}
