package org.magnoliabridge.orders;

import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.WeightVersion;

/** What {@link WeightsCore} asks its surroundings to do. */
public sealed interface WeightsEffect {
    /** Ask the weight store for a permit to load. */
    record RequestPermit(EndpointId engine, ServiceId service, ModelId model, WeightVersion version)
            implements WeightsEffect {}

    /**
     * Order an engine to load a version, with a total limit of the send deadline.
     *
     * @param notAfterMs the sender compares its clock with this moment directly before it writes to the connection
     */
    record Load(
            String orderId,
            EndpointId engine,
            ModelId model,
            FencingToken fencing,
            WeightVersion version,
            long notAfterMs)
            implements WeightsEffect {}

    /** Route no more work to an engine: it failed to load the version too often. */
    record Exclude(EndpointId engine, ModelId model, WeightVersion version) implements WeightsEffect {}

    /** Route work to an engine again: it reports the newest version, or another version is to be tried. */
    record Reinstate(EndpointId engine, ModelId model) implements WeightsEffect {}

    /** Stop rolling out a version: too many engines of the model failed to load it. For logs and metrics. */
    record Halted(ModelId model, WeightVersion version) implements WeightsEffect {}

    /** Every engine of the model that is not out reports the version. For logs and metrics. */
    record Completed(ModelId model, WeightVersion version, long tookMs) implements WeightsEffect {}
}
