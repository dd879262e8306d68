package org.magnoliabridge.measure;

import java.util.ArrayList;
import java.util.List;

/** Processor time that a node needs for membership in steady state. */
final class MembershipTime implements Measurement {
    private static final int SECONDS = 10;

    @Override
    public Slope run() {
        List<Slope.Point> points = new ArrayList<>();
        for (int nodes : List.of(10, 20, 40, 80)) {
            MembershipCluster cluster = new MembershipCluster(nodes);
            cluster.run(MembershipCluster.SETTLE_MS);
            double nanos = CpuMeter.medianNanos(() -> cluster.run(SECONDS * 1_000L));
            points.add(new Slope.Point(nodes, nanos / 1_000 / SECONDS / nodes));
        }
        return Slope.fit("membership processor time per node", "nodes", "us/s", points);
    }
}
