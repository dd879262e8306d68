package org.magnoliabridge.orders;

import java.util.List;
import java.util.Objects;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.WeightVersion;

/** Inputs of {@link WeightsCore}. */
public sealed interface WeightsInput {
    /** Time has passed; sent several times a second. */
    record Tick() implements WeightsInput {}

    /** The engines that exist now; the core drops all others. */
    record Engines(List<Engine> engines) implements WeightsInput {
        public Engines {
            engines = List.copyOf(engines);
        }
    }

    /** The newest published version of a model. */
    record Newest(ModelId model, WeightVersion version) implements WeightsInput {}

    /**
     * How many versions behind the newest one a model's engines may be.
     *
     * @param versions number of versions; 0 if every engine must load the newest version
     */
    record Lag(ModelId model, int versions) implements WeightsInput {}

    /**
     * The work that waits for a model.
     *
     * @param slotMs slot time that its open items still need, in milliseconds
     */
    record Demand(ModelId model, double slotMs) implements WeightsInput {}

    /** The version of a model that an engine reports as loaded. */
    record Reported(EndpointId engine, ModelId model, WeightVersion version) implements WeightsInput {}

    /** The answer to a {@link WeightsEffect.RequestPermit}. */
    record Permit(EndpointId engine, ModelId model, WeightVersion version, PermitOutcome outcome, long retryAfterMs)
            implements WeightsInput {}

    /** The outcome of a {@link WeightsEffect.Load}. */
    record Sent(String orderId, EndpointId engine, ModelId model, OrderOutcome outcome) implements WeightsInput {}

    /**
     * A model that an engine of a service serves; an engine with several models appears once for each.
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

    /** The response of the weight store to a permit request. */
    enum PermitOutcome {
        GRANTED,
        RATE_LIMITED,
        FAILED
    }
}
