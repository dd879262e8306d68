package org.magnoliabridge.orders;

import java.util.List;
import java.util.Objects;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.WeightVersion;

/** What {@link WeightsCore} is told. */
public sealed interface WeightsInput {
    /** Time has passed; sent several times a second. */
    record Tick() implements WeightsInput {}

    /** The engines that exist now; engines that are not named are forgotten. */
    record Engines(List<Engine> engines) implements WeightsInput {
        public Engines {
            engines = List.copyOf(engines);
        }
    }

    /** The newest version that the weight store names for a service. */
    record Newest(ServiceId service, WeightVersion version) implements WeightsInput {}

    /** The version that an engine itself reports. */
    record Reported(EndpointId engine, WeightVersion version) implements WeightsInput {}

    /** The answer to a {@link WeightsEffect.TakePermit}. */
    record Permit(EndpointId engine, WeightVersion version, PermitOutcome outcome, long retryAfterMs)
            implements WeightsInput {}

    /** The outcome of a {@link WeightsEffect.Load}. */
    record Sent(String orderId, EndpointId engine, OrderOutcome outcome) implements WeightsInput {}

    /**
     * An engine of a model service.
     *
     * @param sampler whether trainers take samples from it; samplers get new weights first
     */
    record Engine(EndpointId id, ServiceId service, boolean sampler) {
        public Engine {
            Objects.requireNonNull(id);
            Objects.requireNonNull(service);
        }
    }

    /** What the weight store said to a request for a permit. */
    enum PermitOutcome {
        GRANTED,
        RATE_LIMITED,
        FAILED
    }
}
