package org.magnoliabridge.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.usage.Count;
import org.magnoliabridge.usage.UsageCore;
import org.magnoliabridge.usage.UsageEffect;
import org.magnoliabridge.usage.UsageInput;
import org.magnoliabridge.usage.UsageTimes;

/** Bytes of counts and acknowledgements that a node sends when all teams are active on all nodes. */
final class UsageBytes implements Measurement {
    private static final int NODES = 4;
    private static final int SECONDS = 60;
    private static final long TICK_MS = 100;

    @Override
    public Slope run() {
        List<Slope.Point> points = new ArrayList<>();
        for (int teams : List.of(10, 20, 40, 80)) {
            points.add(new Slope.Point(teams, bytesPerSecond(teams)));
        }
        return Slope.fit("usage bytes sent per node", "teams", "bytes/s", points);
    }

    private static double bytesPerSecond(int teams) {
        List<ProcessName> peers = new ArrayList<>();
        Map<NodeId, UsageCore> cores = new HashMap<>();
        for (int i = 0; i < NODES; i++) {
            NodeId node = new NodeId("node-" + i);
            peers.add(new ProcessName(node, new Incarnation(1)));
            cores.put(node, new UsageCore(node, new Incarnation(1), UsageTimes.withoutDueTime(60_000)));
        }
        long bytes = 0;
        UsageInput members = new UsageInput.Peers(peers, Optional.of(peers.get(0)));
        for (ProcessName peer : peers) {
            bytes += deliver(cores, peer.node(), members, 0);
        }
        for (long nowMs = 0; nowMs < SECONDS * 1_000L; nowMs += TICK_MS) {
            for (ProcessName peer : peers) {
                for (int team = 0; team < teams; team++) {
                    UsageInput delivered = new UsageInput.Delivered(new TeamId("team-" + team), new Count(1, 500, 0));
                    bytes += deliver(cores, peer.node(), delivered, nowMs);
                }
                bytes += deliver(cores, peer.node(), new UsageInput.Tick(), nowMs);
            }
        }
        return (double) bytes / SECONDS / NODES;
    }

    private static long deliver(Map<NodeId, UsageCore> cores, NodeId node, UsageInput input, long nowMs) {
        long bytes = 0;
        ProcessName process = new ProcessName(node, new Incarnation(1));
        for (UsageEffect effect : cores.get(node).handle(input, nowMs)) {
            if (effect instanceof UsageEffect.SendCounts send) {
                bytes += send.body().length
                        + deliver(cores, send.to(), new UsageInput.Counts(process, send.body()), nowMs);
            } else if (effect instanceof UsageEffect.SendAck ack) {
                bytes += ack.body().length
                        + deliver(cores, ack.to().node(), new UsageInput.Ack(process, ack.body()), nowMs);
            }
        }
        return bytes;
    }
}
