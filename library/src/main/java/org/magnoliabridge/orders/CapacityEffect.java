package org.magnoliabridge.orders;

import java.util.Map;
import org.magnoliabridge.external.EndpointOrder;
import org.magnoliabridge.ids.EndpointId;

/** What {@link CapacityCore} asks its surroundings to do. */
public sealed interface CapacityEffect {
    /** Hand these states to {@link OrdersCore} as {@link OrdersInput.DesiredEndpoints}. */
    record DesiredEndpoints(Map<EndpointId, EndpointOrder> endpoints) implements CapacityEffect {
        public DesiredEndpoints {
            endpoints = Map.copyOf(endpoints);
        }
    }

    /** Route no new work to an endpoint and report {@link CapacityInput.Drained} when its calls have ended. */
    record Drain(EndpointId endpoint) implements CapacityEffect {}

    /** Route work to a draining endpoint again: it is needed after all. */
    record Undrain(EndpointId endpoint) implements CapacityEffect {}
}
