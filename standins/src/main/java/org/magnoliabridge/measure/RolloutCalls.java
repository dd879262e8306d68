package org.magnoliabridge.measure;

import java.util.ArrayList;
import java.util.List;

/** Store calls of one step, with one runner and one trainer. */
final class RolloutCalls implements Measurement {
    @Override
    public Slope run() {
        List<Slope.Point> points = new ArrayList<>();
        for (int groups : RolloutStep.GROUPS) {
            points.add(
                    new Slope.Point(groups, new RolloutStep().run(groups).store.calls()));
        }
        return Slope.fit("rollout store calls per step", "groups", "calls", points);
    }
}
