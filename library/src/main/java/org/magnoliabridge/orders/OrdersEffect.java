package org.magnoliabridge.orders;

import org.magnoliabridge.external.EndpointOrder;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.FencingToken;

/** What {@link OrdersCore} asks its surroundings to do. */
public sealed interface OrdersEffect {
    /** Make a call to the object API with priority DECISION. */
    record Call(long callId, StoreRequest request) implements OrdersEffect {}

    /** Read the endpoint list. */
    record ListEndpoints(long callId) implements OrdersEffect {}

    /**
     * Send an order, with a total limit of the send deadline.
     *
     * @param notAfterMs the sender compares its clock with this moment directly before it writes to the connection, and
     *     reports {@link OrderOutcome#NOT_SENT} if it has passed
     */
    record Send(String orderId, EndpointOrder order, FencingToken fencing, long notAfterMs) implements OrdersEffect {}

    /** The interface refused an order; it is tried again after the list period. Tell {@link CapacityCore}. */
    record Refused(EndpointId endpoint) implements OrdersEffect {}

    /** An endpoint has another state than the one last accepted by it; it is ordered again. For metrics. */
    record StaleOrderSeen(EndpointId endpoint) implements OrdersEffect {}

    /** The interface refused the token as stale; this core sends nothing more under it. For logs and metrics. */
    record Superseded(FencingToken fencing) implements OrdersEffect {}
}
