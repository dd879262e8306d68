package org.magnoliabridge.warmup;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ServiceId;

/**
 * Nodes that send as much as they may to an endpoint that stays cold, on a virtual clock.
 *
 * <p>The nodes learn of starts and ends of others, of partitions and of their majority late, each after a time of its
 * own, and their wall clocks differ.
 */
final class PacedNodes {
    static final ServiceId SERVICE = new ServiceId("desk");
    static final EndpointId ENDPOINT = new EndpointId("e1");

    private static final long STEP_MS = 50;
    private static final long MAX_JOIN_MS = 4_000;
    private static final long MAX_DETECTION_MS = 4_000;
    private static final long MAX_MINORITY_MS = 13_000;
    private static final long ELECTION_MS = 1_000;
    private static final int MAX_CLOCK_ERROR_MS = 249;
    private static final long WALL_MS = 1_700_000_000_000L;

    private final Random random;
    private final ServiceWarmUp service;
    private final int slots;
    private final boolean eager;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Long> sends = new ArrayList<>();
    private final Map<NodeId, Integer> sendsByNode = new HashMap<>();
    private long nowMs = 1_000_000;
    private boolean cut;
    private long cutChangedMs = Long.MIN_VALUE / 2;
    private long runnerLostMs = Long.MIN_VALUE / 2;

    private final class Node {
        private final NodeId id;
        private final WarmUpPacer pacer;
        private final long startedMs = nowMs;
        private final long wallOffsetMs = WALL_MS + random.nextInt(2 * MAX_CLOCK_ERROR_MS + 1) - MAX_CLOCK_ERROR_MS;
        private final boolean smallSide;
        private long endedMs = Long.MAX_VALUE;
        private boolean runner;

        Node(int number, boolean smallSide) {
            id = WarmUps.node(number);
            this.smallSide = smallSide;
            pacer = new WarmUpPacer(id);
            pacer.replaceServices(Map.of(SERVICE, service));
            pacer.replaceEndpoints(nowMs, List.of(WarmUps.listed(ENDPOINT.value(), SERVICE, 1, 1_000_000_000)));
        }

        boolean runs() {
            return nowMs < endedMs;
        }

        boolean knows(Node other) {
            long unknownUntilMs = Math.max(startedMs, other.startedMs) + delayMs(other, MAX_JOIN_MS);
            long forgottenAtMs =
                    other.endedMs == Long.MAX_VALUE ? Long.MAX_VALUE : other.endedMs + delayMs(other, MAX_DETECTION_MS);
            boolean known = other == this || (nowMs >= unknownUntilMs && nowMs < forgottenAtMs);
            boolean changeSeen = nowMs - cutChangedMs >= delayMs(other, MAX_DETECTION_MS);
            boolean separated = smallSide != other.smallSide && cut == changeSeen;
            return known && !separated;
        }

        // On the smaller side, a node notices a partition late, and its end before the others know it again.
        boolean hasMajority() {
            if (!smallSide) {
                return nowMs - startedMs >= 200;
            }
            boolean unnoticed = startedMs <= cutChangedMs && nowMs - cutChangedMs < delayMs(this, MAX_MINORITY_MS);
            return cut ? unnoticed : nowMs - startedMs >= 200;
        }

        private long delayMs(Node other, long mostMs) {
            return Math.floorMod((id.value() + "|" + other.id).hashCode() * 2_654_435_761L, mostMs);
        }

        void step() {
            List<NodeId> view =
                    nodes.stream().filter(this::knows).map(n -> n.id).toList();
            pacer.setMembers(nowMs, view, hasMajority());
            pacer.setWallClock(nowMs, nowMs + wallOffsetMs);
            pacer.setRunner(nowMs, runner);
            for (Sender sender : Sender.values()) {
                while ((eager || random.nextInt(8) == 0) && pacer.maySend(nowMs, sender, ENDPOINT)) {
                    pacer.sent(nowMs, sender, ENDPOINT);
                    sends.add(nowMs);
                    sendsByNode.merge(id, 1, Integer::sum);
                }
            }
        }
    }

    /**
     * Starts nodes.
     *
     * @param eager whether nodes always have a request to send; else they have one now and then
     */
    PacedNodes(int count, ServiceWarmUp service, long seed, boolean eager) {
        this.eager = eager;
        this.random = new Random(seed);
        this.service = service;
        this.slots = count;
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(i, i % 5 == 0));
        }
    }

    /** Runs all nodes, with a runner on the larger side. */
    void run(long durationMs) {
        for (long endMs = nowMs + durationMs; nowMs < endMs; nowMs += STEP_MS) {
            elect();
            nodes.stream().filter(Node::runs).forEach(Node::step);
        }
    }

    private void elect() {
        boolean hasRunner = nodes.stream().anyMatch(n -> n.runner && n.runs());
        if (!hasRunner && nowMs - runnerLostMs >= ELECTION_MS) {
            nodes.stream().filter(n -> n.runs() && !n.smallSide).findFirst().ifPresent(n -> n.runner = true);
        }
    }

    /** Ends about one node in {@code divisor} of the larger side at once. */
    void killSome(int divisor) {
        for (Node node : nodes) {
            if (node.runs() && !node.smallSide && random.nextInt(divisor) == 0) {
                node.endedMs = nowMs;
                runnerLostMs = node.runner ? nowMs : runnerLostMs;
            }
        }
    }

    /** Starts all ended nodes again. */
    void startEnded() {
        List<Node> ended = nodes.stream().filter(n -> !n.runs()).toList();
        for (Node node : ended) {
            nodes.remove(node);
            nodes.add(new Node(Integer.parseInt(node.id.value().substring("node-".length())), node.smallSide));
        }
    }

    /** Adds nodes that did not exist before. */
    void grow(int count) {
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(slots + nodes.size() * 100 + i, false));
        }
    }

    void setCut(boolean separated) {
        if (cut != separated) {
            cut = separated;
            cutChangedMs = nowMs;
        }
    }

    List<Long> sends() {
        return sends;
    }

    int sendsOf(int node) {
        return sendsByNode.getOrDefault(WarmUps.node(node), 0);
    }
}
