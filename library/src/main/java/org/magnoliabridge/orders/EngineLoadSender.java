package org.magnoliabridge.orders;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.platform.EngineOrders;
import org.magnoliabridge.platform.PlatformException;

/** Carries out {@link WeightsEffect.Load} on a traffic thread, with the last check of the lease before the call. */
public final class EngineLoadSender {
    private final EngineOrders orders;
    private final MonotonicClock clock;

    public EngineLoadSender(EngineOrders orders, MonotonicClock clock) {
        this.orders = Objects.requireNonNull(orders);
        this.clock = Objects.requireNonNull(clock);
    }

    /** Sends an order to the engine at an address and returns its outcome; blocks for at most the send deadline. */
    public OrderOutcome send(InetSocketAddress engine, WeightsEffect.Load load) {
        if (clock.nowMs() >= load.notAfterMs()) {
            return OrderOutcome.NOT_SENT;
        }
        try {
            orders.loadVersion(engine, load.orderId(), load.fencing(), load.version());
            return OrderOutcome.ACCEPTED;
        } catch (PlatformException e) {
            return EndpointOrderSender.outcome(e);
        }
    }
}
