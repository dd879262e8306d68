package org.magnoliabridge.orders;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.OptionalLong;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.external.EngineOrders;
import org.magnoliabridge.external.PlatformException;

/** Carries out {@link WeightsEffect.Load} outside the control loop, after a last check of the lease. */
public final class EngineLoadSender {
    private final EngineOrders orders;
    private final MonotonicClock clock;

    public EngineLoadSender(EngineOrders orders, MonotonicClock clock) {
        this.orders = Objects.requireNonNull(orders);
        this.clock = Objects.requireNonNull(clock);
    }

    /** Sends an order to the engine at an address and returns its outcome; blocks for at most the send deadline. */
    public OrderOutcome send(InetSocketAddress engine, WeightsEffect.Load load) {
        return send(engine, load, OptionalLong.empty());
    }

    /** Sends an order that the engine refuses if the number of orders it has accepted is not {@code expectedOrders}. */
    public OrderOutcome send(InetSocketAddress engine, WeightsEffect.Load load, OptionalLong expectedOrders) {
        if (clock.nowMs() >= load.notAfterMs()) {
            return OrderOutcome.NOT_SENT;
        }
        try {
            orders.loadVersion(new EngineOrders.Load(
                    load.engine(),
                    engine,
                    load.orderId(),
                    load.model(),
                    load.fencing(),
                    load.version(),
                    expectedOrders));
            return OrderOutcome.ACCEPTED;
        } catch (PlatformException e) {
            return EndpointOrderSender.outcome(e);
        }
    }
}
