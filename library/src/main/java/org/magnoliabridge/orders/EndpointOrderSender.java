package org.magnoliabridge.orders;

import java.util.Objects;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.external.EndpointOrders;
import org.magnoliabridge.external.PlatformException;

/** Carries out {@link OrdersEffect.Send} outside the control loop, after a last check of the lease. */
public final class EndpointOrderSender {
    private final EndpointOrders orders;
    private final MonotonicClock clock;

    public EndpointOrderSender(EndpointOrders orders, MonotonicClock clock) {
        this.orders = Objects.requireNonNull(orders);
        this.clock = Objects.requireNonNull(clock);
    }

    /** Sends an order and returns its outcome; blocks for at most the send deadline. */
    public OrderOutcome send(OrdersEffect.Send send) {
        if (clock.nowMs() >= send.notAfterMs()) {
            return OrderOutcome.NOT_SENT;
        }
        try {
            orders.order(send.order(), send.orderId(), send.fencing());
            return OrderOutcome.ACCEPTED;
        } catch (PlatformException e) {
            return outcome(e);
        }
    }

    /** Maps a failed call to the outcome of its order. */
    static OrderOutcome outcome(PlatformException failure) {
        return switch (failure) {
            case PlatformException.Superseded e -> OrderOutcome.STALE_FENCING;
            case PlatformException.Rejected e -> OrderOutcome.REFUSED;
            case PlatformException.Unavailable e -> OrderOutcome.NOT_SENT;
            case PlatformException.RateLimited e -> OrderOutcome.NOT_SENT;
            case PlatformException.OutcomeUnknown e -> OrderOutcome.UNKNOWN;
            case PlatformException.VersionConflict e -> OrderOutcome.UNKNOWN;
            case PlatformException.RevisionTooOld e -> OrderOutcome.UNKNOWN;
            case PlatformException.Malformed e -> OrderOutcome.UNKNOWN;
        };
    }
}
