package org.magnoliabridge.orders;

import org.magnoliabridge.external.EndpointOrder;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.FencingToken;

/** Actions that the caller of {@link OrdersCore} carries out. */
public sealed interface OrdersEffect {
    /** Call the object API with priority DECISION. */
    record Call(long callId, StoreRequest request) implements OrdersEffect {}

    /** Read the endpoint list. */
    record ListEndpoints(long callId) implements OrdersEffect {}

    /** Send an order; the whole call is limited by the send deadline. */
    record Send(String orderId, EndpointOrder order, FencingToken fencing) implements OrdersEffect {}

    /** The order API refused an order, which is retried after the list period. Pass it on to {@link CapacityCore}. */
    record Refused(EndpointId endpoint) implements OrdersEffect {}

    /** The listed state of an endpoint differs from the last accepted order; it is ordered again. For metrics. */
    record StaleOrderSeen(EndpointId endpoint) implements OrdersEffect {}

    /** The fencing token is stale; this core sends no more orders under it. For logs and metrics. */
    record Superseded(FencingToken fencing) implements OrdersEffect {}
}
