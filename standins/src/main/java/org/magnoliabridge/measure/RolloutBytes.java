package org.magnoliabridge.measure;

import java.util.ArrayList;
import java.util.List;

/** Bytes written to the store in one step; a group has 8 samples of 1,000 characters. */
final class RolloutBytes implements Measurement {
    @Override
    public Slope run() {
        List<Slope.Point> points = new ArrayList<>();
        for (int groups : RolloutStep.GROUPS) {
            points.add(
                    new Slope.Point(groups, new RolloutStep().run(groups).store.writtenBytes()));
        }
        return Slope.fit("rollout bytes written per step, groups of 8,000 characters", "groups", "bytes", points);
    }
}
