package org.magnoliabridge.orders;

import java.util.Objects;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.external.EndpointTotals;
import org.magnoliabridge.external.PlatformException;

/** Carries out {@link TotalsEffect.Send} outside the control loop, after a last check of the lease. */
public final class EndpointTotalSender {
    private final EndpointTotals totals;
    private final MonotonicClock clock;

    public EndpointTotalSender(EndpointTotals totals, MonotonicClock clock) {
        this.totals = Objects.requireNonNull(totals);
        this.clock = Objects.requireNonNull(clock);
    }

    /** Sends an order and returns its outcome; blocks for at most the send deadline. */
    public OrderOutcome send(TotalsEffect.Send send) {
        if (clock.nowMs() >= send.notAfterMs()) {
            return OrderOutcome.NOT_SENT;
        }
        try {
            totals.order(send.total(), send.fencing());
            return OrderOutcome.ACCEPTED;
        } catch (PlatformException e) {
            return EndpointOrderSender.outcome(e);
        }
    }
}
