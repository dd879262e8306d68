package org.magnoliabridge.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;
import org.magnoliabridge.routing.RoutingMeasurement.Result;
import org.magnoliabridge.routing.SimulatedNode.Policy;

/** Compares with a first-in-first-out queue in the same run on virtual time, so the verdict never varies. */
class RoutingMeasurementTest {
    private static final long SEED = 1;
    private static final int SECONDS = 40;

    /** Guards the worst-served team and people who wait, at twice the load that the engines can serve. */
    @Test
    void overloadHurtsSmallTeamsAndPeopleLessThanAFifoQueue() {
        double load = 2 * RoutingMeasurement.SATURATION_PER_SECOND;
        Result own = RoutingMeasurement.run(Policy.CORE, load, SEED, SECONDS);
        Result fifo = RoutingMeasurement.run(Policy.FIFO_RANDOM, load, SEED, SECONDS);
        double best = Math.max(own.tokens(), fifo.tokens());
        assertThat(own.minFractionOfFairShare(best), is(greaterThan(fifo.minFractionOfFairShare(best))));
        assertThat(own.goodput, is(greaterThanOrEqualTo(fifo.goodput)));
        assertThat(
                own.interactiveMs.getValueAtPercentile(99), is(lessThan(fifo.interactiveMs.getValueAtPercentile(99))));
    }

    /** Guards prefix affinity: it raises cache hits, and it costs no goodput. */
    @Test
    void affinityRaisesPrefixHitsAtHalfLoad() {
        double load = RoutingMeasurement.SATURATION_PER_SECOND / 2;
        Result own = RoutingMeasurement.run(Policy.CORE, load, SEED, SECONDS);
        Result random = RoutingMeasurement.run(Policy.FIFO_RANDOM, load, SEED, SECONDS);
        assertThat(own.prefixHitRate, is(greaterThan(random.prefixHitRate)));
        assertThat(own.goodput / random.goodput, is(greaterThan(0.99)));
    }
}
