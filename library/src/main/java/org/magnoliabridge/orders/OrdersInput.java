package org.magnoliabridge.orders;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliabridge.external.EndpointOrder;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.ids.EndpointId;

/** Inputs of {@link OrdersCore}. */
public sealed interface OrdersInput {
    /** Time has passed; sent several times a second. */
    record Tick() implements OrdersInput {}

    /** The desired states of endpoints; endpoints that are not included are left as they are. */
    record DesiredEndpoints(Map<EndpointId, EndpointOrder> endpoints) implements OrdersInput {
        public DesiredEndpoints {
            endpoints = Map.copyOf(endpoints);
        }
    }

    /** The reply to an {@link OrdersEffect.Call}. */
    record StoreReplied(long callId, StoreReply reply) implements OrdersInput {}

    /** The answer to an {@link OrdersEffect.ListEndpoints}; empty if the list could not be read. */
    record EndpointsListed(long callId, Optional<List<EndpointOrder>> endpoints) implements OrdersInput {}

    /** The outcome of an {@link OrdersEffect.Send}. */
    record Sent(String orderId, OrderOutcome outcome) implements OrdersInput {}
}
