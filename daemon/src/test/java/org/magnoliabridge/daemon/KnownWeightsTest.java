package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;

import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.fleet.FleetEndpoint;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.routing.Endpoint;

class KnownWeightsTest {
    private static final ModelId MODEL = new ModelId("m0");
    private static final ModelId OTHER = new ModelId("m1");

    private final KnownWeights known = new KnownWeights();

    /** Guards against a copy of each engine's weights at each tick on the nodes that get no reports. */
    @Test
    void weightsOfAnEngineWithoutAReportAreThoseOfTheList() {
        FleetEndpoint engine = engine(1, 3);
        assertThat(known.of(engine), is(sameInstance(engine.weights())));
    }

    /** Guards against a lagging list or report that hides newer weights, and a report that outlives its incarnation. */
    @Test
    void newerVersionOfTheListAndTheReportHolds() {
        known.recordReport(engine(1, 3).endpoint(), Map.of(MODEL, new WeightVersion(5), OTHER, new WeightVersion(1)));
        assertThat(known.of(engine(1, 3)), is(Map.of(MODEL, new WeightVersion(5), OTHER, new WeightVersion(1))));
        assertThat(known.of(engine(1, 6)), is(Map.of(MODEL, new WeightVersion(6), OTHER, new WeightVersion(1))));
        assertThat(known.of(engine(2, 3)), is(Map.of(MODEL, new WeightVersion(3))));
    }

    private static FleetEndpoint engine(long incarnation, long version) {
        Endpoint endpoint = new Endpoint(
                new EndpointId("e1"),
                new ServiceId("m"),
                new DataCentre("dc"),
                "10.0.0.1:80",
                new Incarnation(incarnation));
        Map<ModelId, WeightVersion> weights = Map.of(MODEL, new WeightVersion(version));
        return new FleetEndpoint(endpoint, 8, false, weights, 0, false, OptionalLong.empty());
    }
}
