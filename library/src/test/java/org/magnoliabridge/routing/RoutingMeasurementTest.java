package org.magnoliabridge.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;
import org.magnoliabridge.routing.RoutingMeasurement.Result;
import org.magnoliabridge.routing.SimulatedNode.Policy;

/** Compares the admission core with a first-in-first-out queue on virtual time, so the results are deterministic. */
class RoutingMeasurementTest {
    private static final long SEED = 1;
    private static final int SECONDS = 40;

    /**
     * Guards the team with the smallest part of its fair share, and interactive requests, at twice the load that the
     * engines can serve.
     */
    @Test
    void isFairerAndFasterForInteractiveRequestsThanAFifoQueueAtDoubleLoad() {
        double load = 2 * RoutingMeasurement.SATURATION_PER_SECOND;
        Result core = RoutingMeasurement.run(Policy.CORE, load, SEED, SECONDS);
        Result fifo = RoutingMeasurement.run(Policy.FIFO_RANDOM, load, SEED, SECONDS);
        double best = Math.max(core.tokens(), fifo.tokens());
        assertThat(core.minFractionOfFairShare(best), is(greaterThan(fifo.minFractionOfFairShare(best))));
        assertThat(core.goodput, is(greaterThanOrEqualTo(fifo.goodput)));
        assertThat(
                core.interactiveMs.getValueAtPercentile(99), is(lessThan(fifo.interactiveMs.getValueAtPercentile(99))));
    }

    /** Guards prefix affinity: it raises the cache hit rate without reducing goodput by more than 1%. */
    @Test
    void affinityRaisesPrefixHitsAtHalfLoad() {
        double load = RoutingMeasurement.SATURATION_PER_SECOND / 2;
        Result core = RoutingMeasurement.run(Policy.CORE, load, SEED, SECONDS);
        Result random = RoutingMeasurement.run(Policy.FIFO_RANDOM, load, SEED, SECONDS);
        assertThat(core.prefixHitRate, is(greaterThan(random.prefixHitRate)));
        assertThat(core.goodput / random.goodput, is(greaterThan(0.99)));
    }
}
