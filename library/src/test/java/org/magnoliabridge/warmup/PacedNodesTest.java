package org.magnoliabridge.warmup;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class PacedNodesTest {
    private static final long SETTLED_MS = 21_000;

    /** Guards against more requests at a cold endpoint than it tolerates, whatever happens to the nodes. */
    @Property(tries = 120)
    void noSpanHoldsMoreRequestsThanTheEndpointTolerates(
            @ForAll @IntRange(min = 1, max = 70) int nodes,
            @ForAll @DoubleRange(min = 0.25, max = 20) double rate,
            @ForAll boolean runsItems,
            @ForAll boolean servesCallers,
            @ForAll boolean eager,
            @ForAll long seed,
            @ForAll @Size(min = 1, max = 6) List<@IntRange(min = 0, max = 5) Integer> events) {
        WarmUpLimits limits = new WarmUpLimits(3_000, rate);
        PacedNodes cluster = new PacedNodes(nodes, new ServiceWarmUp(limits, runsItems, servesCallers), seed, eager);
        cluster.run(SETTLED_MS);
        for (int event : events) {
            switch (event) {
                case 0 -> cluster.killSome(2);
                case 1 -> cluster.killSome(8);
                case 2 -> cluster.startEnded();
                case 3 -> cluster.grow(3);
                case 4 -> cluster.setCut(true);
                default -> cluster.setCut(false);
            }
            cluster.run(event % 2 == 0 ? 3_000 : 17_000);
        }
        assertThat(Spans.most(cluster.sends(), limits.spanMs()), lessThanOrEqualTo(limits.requests()));
    }

    /** Guards against nodes that never get a turn, and against turns that waste most of what is tolerated. */
    @Test
    void everyNodeOfManyGetsTurns() {
        WarmUpLimits limits = new WarmUpLimits(3_000, 8.1);
        PacedNodes cluster = new PacedNodes(60, new ServiceWarmUp(limits, false, true), 1, true);
        cluster.run(SETTLED_MS);
        int before = cluster.sends().size();
        cluster.run(120_000);
        for (int node = 0; node < 60; node++) {
            assertThat("node " + node, cluster.sendsOf(node), greaterThan(0));
        }
        // Callers have 6 requests in a span, in a turn of 2 s.
        assertThat(cluster.sends().size() - before, greaterThanOrEqualTo(300));
    }

    /** Guards against few nodes that use less than their equal shares. */
    @Test
    void fewNodesShareTheToleratedRate() {
        WarmUpLimits limits = new WarmUpLimits(3_000, 8.1);
        PacedNodes cluster = new PacedNodes(3, new ServiceWarmUp(limits, true, true), 1, true);
        cluster.run(SETTLED_MS);
        int before = cluster.sends().size();
        cluster.run(20_000);
        // 4 of the runner, and 1 of each node.
        assertThat(cluster.sends().size() - before, greaterThanOrEqualTo(20 * 6));
    }
}
