package org.magnoliabridge.measure;

import java.util.ArrayList;
import java.util.List;

/** Bytes that a node sends for membership in steady state. */
final class MembershipBytes implements Measurement {
    private static final int SECONDS = 60;

    @Override
    public Slope run() {
        List<Slope.Point> points = new ArrayList<>();
        for (int nodes : List.of(10, 20, 40, 80)) {
            MembershipCluster cluster = new MembershipCluster(nodes);
            cluster.run(MembershipCluster.SETTLE_MS);
            if (!cluster.complete()) {
                throw new IllegalStateException("members are still unknown after the settling time");
            }
            long before = cluster.sentBytes();
            cluster.run(SECONDS * 1_000L);
            points.add(new Slope.Point(nodes, (double) (cluster.sentBytes() - before) / SECONDS / nodes));
        }
        return Slope.fit("membership bytes sent per node", "nodes", "bytes/s", points);
    }
}
