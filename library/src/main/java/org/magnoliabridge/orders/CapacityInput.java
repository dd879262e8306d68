package org.magnoliabridge.orders;

import java.util.List;
import org.magnoliabridge.external.EndpointOrder;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ServiceId;

/** What {@link CapacityCore} is told. */
public sealed interface CapacityInput {
    /** Time has passed; sent about once a second. */
    record Tick() implements CapacityInput {}

    /** The services to provide for; a service that is no longer named keeps its endpoints. */
    record Plans(List<CapacityPlan> plans) implements CapacityInput {
        public Plans {
            plans = List.copyOf(plans);
        }
    }

    /** The demand of a service now, in the unit of its plan, for example calls in flight and waiting. */
    record Demand(ServiceId service, double units) implements CapacityInput {}

    /** The endpoint list as the order interface gives it; nothing is decided before the first one. */
    record Endpoints(List<EndpointOrder> endpoints) implements CapacityInput {
        public Endpoints {
            endpoints = List.copyOf(endpoints);
        }
    }

    /** The platform takes an endpoint back, or has done so. */
    record Reclaimed(EndpointId endpoint) implements CapacityInput {}

    /** The order interface refused to start an endpoint, for example because the data centre has no room. */
    record Refused(EndpointId endpoint) implements CapacityInput {}

    /** An endpoint has finished all its work after {@link CapacityEffect.Drain}. */
    record Drained(EndpointId endpoint) implements CapacityInput {}
}
