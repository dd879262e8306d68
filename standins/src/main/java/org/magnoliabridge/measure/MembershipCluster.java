package org.magnoliabridge.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.ids.Region;
import org.magnoliabridge.membership.Member;
import org.magnoliabridge.membership.MemberState;
import org.magnoliabridge.membership.MembershipCore;
import org.magnoliabridge.membership.MembershipEffect;
import org.magnoliabridge.membership.MembershipInput;
import org.magnoliabridge.membership.NodeLocation;

/** Membership cores on a virtual clock and a network without loss. */
final class MembershipCluster {
    /** Settles the member tables before figures are taken. */
    static final long SETTLE_MS = 60_000;

    private static final long TICK_MS = 100;
    private static final long DELAY_MS = 1;
    // Frame header and MAC, and the Ethernet, IP and TCP headers, as the membership simulation counts them.
    private static final int FRAME_BYTES = 60 + 66;

    private final List<MembershipCore> cores = new ArrayList<>();
    private final Map<String, Integer> byAddress = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowMs = 1_000_000;
    private long lastEvent;
    private long sentBytes;

    MembershipCluster(int nodes) {
        Random random = new Random(1);
        for (int i = 0; i < nodes; i++) {
            int node = i;
            String address = "node-" + i + ":7000";
            byAddress.put(address, i);
            NodeLocation location = new NodeLocation(address, address, new DataCentre("dc"), new Region("region"));
            MemberState state = new MemberState(new Incarnation(1), 0, MemberState.Liveness.ALIVE, false);
            Member self = new Member(id(i), state, location, 0);
            cores.add(new MembershipCore(self, List.of("node-0:7000", "node-1:7000"), new Random(random.nextLong())));
            at(nowMs + random.nextInt((int) TICK_MS), () -> tick(node));
        }
    }

    private static ProcessName process(int node) {
        return new ProcessName(id(node), new Incarnation(1));
    }

    private static NodeId id(int node) {
        return new NodeId("node-" + node);
    }

    long sentBytes() {
        return sentBytes;
    }

    /** Whether each node knows all nodes as alive. */
    boolean complete() {
        return cores.stream()
                .allMatch(c -> c.members().stream().filter(Member::isAlive).count() == cores.size());
    }

    void run(long durationMs) {
        long end = nowMs + durationMs;
        while (events.peek().atMs() <= end) {
            Event event = events.remove();
            nowMs = event.atMs();
            event.task().run();
        }
        nowMs = end;
    }

    private void at(long atMs, Runnable task) {
        events.add(new Event(atMs, lastEvent++, task));
    }

    private void tick(int node) {
        input(node, new MembershipInput.Tick());
        at(nowMs + TICK_MS, () -> tick(node));
    }

    private void input(int node, MembershipInput input) {
        for (MembershipEffect effect : cores.get(node).handle(input, nowMs)) {
            if (effect instanceof MembershipEffect.Send send) {
                sentBytes += send.body().length + FRAME_BYTES;
                int to = Optional.ofNullable(byAddress.get(send.address())).orElseThrow();
                MembershipInput received =
                        new MembershipInput.Received(process(node), send.type(), send.requestId(), send.body());
                at(nowMs + DELAY_MS, () -> input(to, received));
            }
        }
    }

    private record Event(long atMs, long number, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMs != other.atMs ? Long.compare(atMs, other.atMs) : Long.compare(number, other.number);
        }
    }
}
