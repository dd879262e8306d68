package org.magnoliabridge.orders;

import java.util.Map;
import org.magnoliabridge.external.EndpointOrder;
import org.magnoliabridge.ids.EndpointId;

/** Actions that the caller of {@link CapacityCore} carries out. */
public sealed interface CapacityEffect {
    /** Pass these desired states to {@link OrdersCore} as {@link OrdersInput.DesiredEndpoints}. */
    record DesiredEndpoints(Map<EndpointId, EndpointOrder> endpoints) implements CapacityEffect {
        public DesiredEndpoints {
            endpoints = Map.copyOf(endpoints);
        }
    }

    /** Route no new work to an endpoint and report {@link CapacityInput.Drained} when its calls have ended. */
    record Drain(EndpointId endpoint) implements CapacityEffect {}

    /** Resume routing work to a draining endpoint, because demand has risen again. */
    record Undrain(EndpointId endpoint) implements CapacityEffect {}
}
