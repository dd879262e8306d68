package org.magnoliabridge.orders;

import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.external.CallPermit;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.lease.LeaseGate;

/** Sends orders outside the control loop while the lease allows it, and maps failures to outcomes. */
public final class OrderSender {
    private final LeaseGate gate;

    public OrderSender(LeaseGate gate) {
        this.gate = Objects.requireNonNull(gate);
    }

    /** Sends an order that was decided under a fencing token; blocks for at most the send deadline. */
    public OrderOutcome send(FencingToken fencing, Order order) {
        Optional<CallPermit> admitted = gate.admit(fencing);
        if (admitted.isEmpty()) {
            return OrderOutcome.NOT_SENT;
        }
        try (CallPermit permit = admitted.get()) {
            order.send(permit);
            return OrderOutcome.ACCEPTED;
        } catch (PlatformException e) {
            return outcome(e);
        }
    }

    private static OrderOutcome outcome(PlatformException failure) {
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

    /** A call that sends an order. */
    @FunctionalInterface
    public interface Order {
        /** Sends the order; throws if its acceptance is not certain. */
        void send(CallPermit permit) throws PlatformException;
    }
}
