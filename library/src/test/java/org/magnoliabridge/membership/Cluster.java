package org.magnoliabridge.membership;

import static org.magnoliabridge.membership.NodeLocation.UNKNOWN_CAPACITY;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.ids.Region;
import org.magnoliabridge.membership.MemberState.Liveness;

/**
 * Many cores on a virtual clock and a simulated network with delay, loss and partitions; 60% of the nodes are in the
 * first region.
 */
final class Cluster {
    private static final long TICK_MS = 100;
    private static final long FRAME_OVERHEAD_BYTES = 60;
    // Ethernet, IP and TCP headers with timestamps, counted for every frame.
    static final long PACKET_BYTES = 66;

    final Map<Integer, Node> nodes = new HashMap<>();
    final Random random;
    double loss;
    boolean platformUp = true;
    /** Nodes that do nothing and lose what is sent to them, as while their machine is frozen. */
    final Set<Integer> frozen = new HashSet<>();

    BiPredicate<Integer, Integer> cut = (a, b) -> false;
    long nowMs = 1_000_000;
    private final int size;
    private final MembershipSettings settings;
    private final IntUnaryOperator capacityMillicores;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, Integer> byAddress = new HashMap<>();
    private long eventNumber;

    Cluster(int size, long seed) {
        this(size, seed, MembershipSettings.DEFAULT, i -> UNKNOWN_CAPACITY);
        for (int i = 0; i < size; i++) {
            start(i, 1);
        }
    }

    /** Creates a cluster whose nodes are not started yet. */
    Cluster(int size, long seed, MembershipSettings settings, IntUnaryOperator capacityMillicores) {
        this.size = size;
        this.settings = settings;
        this.capacityMillicores = capacityMillicores;
        random = new Random(seed);
        for (int i = 0; i < size; i++) {
            byAddress.put(address(i), i);
        }
    }

    /** Tells a node the addresses of all nodes, as the registry does. */
    void list(int index) {
        Map<NodeId, String> all = new HashMap<>();
        byAddress.forEach((address, i) -> all.put(id(i), address));
        nodes.get(index).input(new MembershipInput.Instances(all));
    }

    static NodeId id(int index) {
        return new NodeId("node-" + index);
    }

    int region(int index) {
        return index < size * 0.6 ? 1 : 2;
    }

    private static String address(int index) {
        return "10.0." + index / 250 + "." + index % 250 + ":7000";
    }

    void start(int index, long incarnation) {
        nodes.put(index, new Node(index, incarnation));
        at(nowMs + random.nextInt((int) TICK_MS), () -> tick(index, incarnation));
    }

    void stop(int index) {
        nodes.remove(index);
    }

    private void tick(int index, long incarnation) {
        Node node = nodes.get(index);
        if (node != null && node.incarnation == incarnation) {
            if (!frozen.contains(index)) {
                node.input(new MembershipInput.Tick());
            }
            at(nowMs + TICK_MS, () -> tick(index, incarnation));
        }
    }

    void run(long durationMs) {
        long end = nowMs + durationMs;
        while (!events.isEmpty() && events.peek().atMs <= end) {
            Event event = events.remove();
            nowMs = event.atMs;
            event.task.run();
        }
        nowMs = end;
    }

    /** Runs until all nodes meet a condition; returns the time in ms, or at least the limit if they did not. */
    long runUntil(long limitMs, long stepMs, Predicate<Node> condition) {
        long start = nowMs;
        while (nowMs - start < limitMs && !nodes.values().stream().allMatch(condition)) {
            run(stepMs);
        }
        return nowMs - start;
    }

    private void at(long atMs, Runnable task) {
        events.add(new Event(atMs, eventNumber++, task));
    }

    /** Performs an action on the two members of each region that watch the platform. */
    void eachWatcher(Consumer<Node> action) {
        for (int r = 1; r <= 2; r++) {
            int region = r;
            List<NodeId> ids = new ArrayList<>();
            nodes.values().stream().filter(n -> region(n.index) == region).forEach(n -> ids.add(id(n.index)));
            List<NodeId> watchers = Rendezvous.first("watch/" + r, 2, ids);
            nodes.values().stream().filter(n -> watchers.contains(id(n.index))).forEach(action);
        }
    }

    void change(String name, long version, int bytes) {
        eachWatcher(n -> n.hold(new Item(name, version, new byte[bytes])));
    }

    long sentBytes() {
        return nodes.values().stream().mapToLong(n -> n.sentBytes).sum();
    }

    /** A node that accepts every higher version of the pinned items. */
    final class Node {
        final int index;
        final long incarnation;
        final MembershipCore core;
        long sentBytes;
        long receivedBytes;
        long sentFrames;
        long confirmedAtMs = Long.MIN_VALUE / 2;
        boolean majority;
        private final Map<String, Long> held = new HashMap<>();

        private Node(int index, long incarnation) {
            this.index = index;
            this.incarnation = incarnation;
            NodeLocation location = new NodeLocation(
                    address(index),
                    address(index),
                    new DataCentre("dc-" + index % 7),
                    new Region("region-" + region(index)),
                    capacityMillicores.applyAsInt(index));
            MemberState state = new MemberState(new Incarnation(incarnation), 0, Liveness.ALIVE, false);
            core = new MembershipCore(
                    new Member(id(index), state, location, 0),
                    List.of(address(0), address(1), address(size - 1)),
                    new Random(random.nextLong()),
                    settings);
        }

        long held(String name) {
            return held.getOrDefault(name, 0L);
        }

        long alive() {
            return core.members().stream().filter(Member::isAlive).count();
        }

        void hold(Item item) {
            if (item.version() > held(item.name())) {
                held.put(item.name(), item.version());
                input(new MembershipInput.ItemAccepted(item));
            }
        }

        void confirm(long atMs) {
            if (atMs > confirmedAtMs) {
                confirmedAtMs = atMs;
                input(new MembershipInput.Confirmation(atMs));
            }
        }

        void input(MembershipInput input) {
            for (MembershipEffect effect : core.handle(input, nowMs)) {
                switch (effect) {
                    case MembershipEffect.Send send -> transmit(send);
                    case MembershipEffect.Deliver d -> at(nowMs, () -> hold(d.item()));
                    case MembershipEffect.Confirmed c -> confirmed(c);
                    case MembershipEffect.Majority m -> majority = m.reached();
                    case MembershipEffect.Changed changed -> {}
                    case MembershipEffect.Malformed m -> throw new IllegalStateException("malformed " + m);
                }
            }
        }

        private void confirmed(MembershipEffect.Confirmed c) {
            if (held(Item.BUNDLE) >= c.versions().get(0)
                    && held(Item.WITHDRAWALS) >= c.versions().get(1)) {
                at(nowMs, () -> confirm(c.confirmedAtMs()));
            }
        }

        private void transmit(MembershipEffect.Send send) {
            long bytes = send.body().length + FRAME_OVERHEAD_BYTES + PACKET_BYTES * (1 + send.body().length / 1_400);
            sentBytes += bytes;
            sentFrames++;
            Integer to = byAddress.get(send.address());
            boolean lost = to == null || random.nextDouble() < loss || cut.test(index, to);
            if (!lost) {
                long delayMs = region(index) == region(to) ? 1 : 15;
                at(nowMs + delayMs, () -> receive(to, send, bytes));
            }
        }

        private void receive(int to, MembershipEffect.Send frame, long bytes) {
            Node target = nodes.get(to);
            boolean present = target != null && !frozen.contains(to);
            if (present
                    && frame.run().map(run -> run.value() == target.incarnation).orElse(true)) {
                target.receivedBytes += bytes;
                ProcessName sender = new ProcessName(id(index), new Incarnation(incarnation));
                target.input(new MembershipInput.Received(sender, frame.type(), frame.requestId(), frame.body()));
            }
        }
    }

    /** Lets the watchers confirm the configuration now and every second, while the platform is up. */
    void confirmEverySecond() {
        if (platformUp) {
            eachWatcher(n -> n.confirm(nowMs));
        }
        at(nowMs + 1_000, this::confirmEverySecond);
    }

    private record Event(long atMs, long number, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMs != other.atMs ? Long.compare(atMs, other.atMs) : Long.compare(number, other.number);
        }
    }
}
