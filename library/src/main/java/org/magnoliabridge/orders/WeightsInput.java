package org.magnoliabridge.orders;

import java.util.List;
import java.util.Objects;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ModelId;
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

    /** The newest version that there is of a model. */
    record Newest(ModelId model, WeightVersion version) implements WeightsInput {}

    /**
     * How many versions behind the newest one a model's engines may be.
     *
     * @param versions 0 if all engines are wanted at the newest version
     */
    record Lag(ModelId model, int versions) implements WeightsInput {}

    /** The version of a model that an engine itself reports. */
    record Reported(EndpointId engine, ModelId model, WeightVersion version) implements WeightsInput {}

    /** The answer to a {@link WeightsEffect.RequestPermit}. */
    record Permit(EndpointId engine, ModelId model, WeightVersion version, PermitOutcome outcome, long retryAfterMs)
            implements WeightsInput {}

    /** The outcome of a {@link WeightsEffect.Load}. */
    record Sent(String orderId, EndpointId engine, ModelId model, OrderOutcome outcome) implements WeightsInput {}

    /**
     * A model that an engine of a service holds; an engine with several models is named once for each.
     *
     * @param sampler whether trainers take samples from it; samplers get new weights first
     */
    record Engine(EndpointId id, ServiceId service, ModelId model, boolean sampler) {
        public Engine {
            Objects.requireNonNull(id);
            Objects.requireNonNull(service);
            Objects.requireNonNull(model);
        }
    }

    /** What the weight store said to a request for a permit. */
    enum PermitOutcome {
        GRANTED,
        RATE_LIMITED,
        FAILED
    }
}
