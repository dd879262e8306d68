package org.magnoliabridge.orders;

import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.WeightVersion;

/** Actions that the caller of {@link WeightsCore} carries out. */
public sealed interface WeightsEffect {
    /** Request a permit to load a version from the weight store. */
    record RequestPermit(EndpointId engine, ServiceId service, ModelId model, WeightVersion version)
            implements WeightsEffect {}

    /** Order an engine to load a version; the whole call is limited by the send deadline. */
    record Load(String orderId, EndpointId engine, ModelId model, FencingToken fencing, WeightVersion version)
            implements WeightsEffect {}

    /** Stop routing work to an engine, because it failed to load the version too often. */
    record Exclude(EndpointId engine, ModelId model, WeightVersion version) implements WeightsEffect {}

    /** Resume routing work to an engine: it has the newest version, or the version it failed on was replaced. */
    record Reinstate(EndpointId engine, ModelId model) implements WeightsEffect {}

    /** Stop rolling out a version: too many engines of the model failed to load it. For logs and metrics. */
    record Halted(ModelId model, WeightVersion version) implements WeightsEffect {}

    /** Every engine of the model that is not excluded reports the version or a newer one. For logs and metrics. */
    record Completed(ModelId model, WeightVersion version, long tookMs) implements WeightsEffect {}
}
