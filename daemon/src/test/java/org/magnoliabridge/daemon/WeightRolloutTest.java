package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.fleet.FleetEndpoint;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.orders.WeightsCore;
import org.magnoliabridge.orders.WeightsSettings;
import org.magnoliabridge.routing.Endpoint;

class WeightRolloutTest {
    private static final int FEW = 5;
    private static final int MANY = 45;
    // A reference to each engine in a list would reach it.
    private static final long BYTES_PER_ENGINE = 8;

    /** Guards against a node without the duties that looks at all engines at each tick although none has changed. */
    @Test
    void unchangedFleetCostsANodeWithoutDutiesNothing() {
        long few = bytesPerUnchangedFleet(FEW);
        long many = bytesPerUnchangedFleet(MANY);
        assertThat("additional bytes", many - few, lessThan(BYTES_PER_ENGINE * (MANY - FEW)));
    }

    private static long bytesPerUnchangedFleet(int engines) {
        WeightRollout rollout = rollout();
        List<FleetEndpoint> fleet =
                IntStream.range(0, engines).mapToObj(i -> engine("e" + i)).toList();
        return TickCost.bytesPerCall(() -> rollout.fleetChanged(fleet));
    }

    private static FleetEndpoint engine(String id) {
        Endpoint endpoint = new Endpoint(
                new EndpointId(id), new ServiceId("m"), new DataCentre("dc"), "10.0.0.1:80", new Incarnation(1));
        Map<ModelId, WeightVersion> weights = Map.of(new ModelId("m0"), new WeightVersion(1));
        return new FleetEndpoint(endpoint, 8, false, weights, 0, false, OptionalLong.empty());
    }

    // Only the clock is used while no version has been published.
    private static WeightRollout rollout() {
        GatewayContext context = new GatewayContext(
                null, null, () -> 0, null, null, null, null, null, null, null, null, null, null, null);
        return new WeightRollout(
                context,
                new WeightsCore(WeightsSettings.withoutPermits(), 0),
                UnheldLease.of(new NodeId("n1")),
                load -> {},
                (engine, address) -> {
                    throw new AssertionError("no engine is loading");
                },
                new KnownWeights());
    }
}
