package org.magnoliabridge.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.usage.Count;
import org.magnoliabridge.usage.UsageCore;
import org.magnoliabridge.usage.UsageEffect;
import org.magnoliabridge.usage.UsageInput;
import org.magnoliabridge.usage.UsageTimes;

/** Size of the largest object that sealing one window writes, with 10 teams active on all nodes. */
final class UsageWindowBytes implements Measurement {
    private static final int TEAMS = 10;
    private static final long WINDOW_MS = 60_000;
    private static final long TICK_MS = 1_000;

    @Override
    public Slope run() {
        List<Slope.Point> points = new ArrayList<>();
        for (int nodes : List.of(10, 20, 40, 80)) {
            points.add(new Slope.Point(nodes, new Leader().sealedBytes(nodes)));
        }
        return Slope.fit("sealed usage window, 10 teams", "nodes", "bytes", points);
    }

    /** The leader, which holds the usage lease all the time. */
    private static final class Leader {
        private final ProcessName peer = new ProcessName(new NodeId("leader"), new Incarnation(1));
        private final UsageCore core =
                new UsageCore(peer.node(), peer.incarnation(), UsageTimes.withoutDueTime(WINDOW_MS));
        private final MemoryObjects store = new MemoryObjects();
        private int largest;

        int sealedBytes(int nodes) {
            handle(new UsageInput.LeaseHeld(10 * WINDOW_MS, new FencingToken(1)), 0);
            // The head is created first, so that the counted window is one after it.
            for (long nowMs = 0; nowMs < WINDOW_MS; nowMs += TICK_MS) {
                handle(new UsageInput.Tick(), nowMs);
            }
            for (int node = 0; node < nodes; node++) {
                report(new NodeId("node-" + node));
            }
            for (long nowMs = WINDOW_MS; nowMs < 3 * WINDOW_MS; nowMs += TICK_MS) {
                handle(new UsageInput.Tick(), nowMs);
            }
            return largest;
        }

        private void report(NodeId node) {
            UsageCore sender = new UsageCore(node, new Incarnation(1), UsageTimes.withoutDueTime(WINDOW_MS));
            sender.handle(new UsageInput.Peers(List.of(peer), Optional.of(peer)), WINDOW_MS);
            List<UsageEffect> effects = new ArrayList<>();
            for (int team = 0; team < TEAMS; team++) {
                Count count = new Count(1_000, 500_000, 200_000);
                effects.addAll(sender.handle(new UsageInput.Delivered(new TeamId("team-" + team), count), WINDOW_MS));
            }
            effects.addAll(sender.handle(new UsageInput.Tick(), WINDOW_MS + TICK_MS));
            for (UsageEffect effect : effects) {
                if (effect instanceof UsageEffect.SendCounts send) {
                    handle(
                            new UsageInput.Counts(new ProcessName(node, new Incarnation(1)), send.body()),
                            WINDOW_MS + TICK_MS);
                }
            }
        }

        private void handle(UsageInput input, long nowMs) {
            for (UsageEffect effect : core.handle(input, nowMs)) {
                if (effect instanceof UsageEffect.Store s) {
                    if (s.request() instanceof StoreRequest.Write write) {
                        largest = Math.max(largest, write.value().length);
                    }
                    handle(new UsageInput.Reply(s.tag(), store.answer(s.request())), nowMs);
                }
            }
        }
    }
}
