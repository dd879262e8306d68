package org.magnoliabridge.orders;

import java.util.List;
import org.magnoliabridge.external.EndpointOrder;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ServiceId;

/** Inputs of {@link CapacityCore}. */
public sealed interface CapacityInput {
    /** Time has passed; sent about once a second. */
    record Tick() implements CapacityInput {}

    /** Plans of services; a service that is no longer included keeps its last plan and its endpoints. */
    record Plans(List<CapacityPlan> plans) implements CapacityInput {
        public Plans {
            plans = List.copyOf(plans);
        }
    }

    /** The current demand of a service, in the unit of its plan, for example calls in flight and waiting. */
    record Demand(ServiceId service, double units) implements CapacityInput {}

    /** The endpoint list from the order API; the core takes no decision before the first one. */
    record Endpoints(List<EndpointOrder> endpoints) implements CapacityInput {
        public Endpoints {
            endpoints = List.copyOf(endpoints);
        }
    }

    /** The platform reclaims, or has reclaimed, an endpoint. */
    record Reclaimed(EndpointId endpoint) implements CapacityInput {}

    /** The order API refused to start an endpoint, for example because the data centre has no room. */
    record Refused(EndpointId endpoint) implements CapacityInput {}

    /** An endpoint has finished all its work after {@link CapacityEffect.Drain}. */
    record Drained(EndpointId endpoint) implements CapacityInput {}
}
