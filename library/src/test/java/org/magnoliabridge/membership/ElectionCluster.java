package org.magnoliabridge.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.IntUnaryOperator;
import java.util.stream.Collectors;
import org.magnoliabridge.batch.RunnerElection;
import org.magnoliabridge.batch.RunnerElection.Candidate;
import org.magnoliabridge.batch.RunnerElection.Change;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.membership.MemberState.Liveness;

/** Nodes of a cluster on a virtual clock that elect the node that runs the batches. */
final class ElectionCluster {
    private static final long STEP_MS = 100;
    private static final long ANNOUNCE_PERIOD_MS = 1_000;

    final Cluster cluster;
    final Map<NodeId, RunnerElection> elections = new TreeMap<>();
    private final Map<NodeId, Long> announcedMs = new HashMap<>();
    private final Set<NodeId> leaving = new HashSet<>();
    private final List<Announcement> sent = new ArrayList<>();
    final long beginMs;
    int elected;
    int handovers;
    long firstMs = -1;

    private record Announcement(NodeId from, NodeId runner, long term) {}

    /** Creates a cluster whose nodes are not started yet. */
    ElectionCluster(int listed, long seed, IntUnaryOperator capacityMillicores) {
        cluster = new Cluster(listed, seed, MembershipSettings.FAST, capacityMillicores);
        beginMs = cluster.nowMs;
    }

    long elapsedMs() {
        return cluster.nowMs - beginMs;
    }

    void start(int index, long incarnation) {
        cluster.start(index, incarnation);
        cluster.list(index);
        elections.put(Cluster.id(index), new RunnerElection(Cluster.id(index), cluster.nowMs));
    }

    /** Begins a planned stop: the node resigns, and other nodes still hear of it until {@link #stop}. */
    void leave(int index) {
        leaving.add(Cluster.id(index));
        elections.get(Cluster.id(index)).resign();
        cluster.nodes.get(index).input(new MembershipInput.Leave());
    }

    void stop(int index) {
        cluster.stop(index);
        elections.remove(Cluster.id(index));
        leaving.remove(Cluster.id(index));
    }

    /** Advances the clock by one step, in which every node takes a turn. */
    void step() {
        cluster.run(STEP_MS);
        deliver();
        elections.forEach((id, node) -> {
            if (!leaving.contains(id)) {
                tick(id, node);
            }
        });
    }

    /** Returns the nodes that run the batches. */
    List<NodeId> runners() {
        return elections.entrySet().stream()
                .filter(e -> e.getValue().isRunner())
                .map(Map.Entry::getKey)
                .toList();
    }

    private Cluster.Node node(NodeId id) {
        return cluster.nodes.get(Integer.parseInt(id.value().substring("node-".length())));
    }

    private List<Member> members(NodeId id) {
        return node(id).core.members();
    }

    private void deliver() {
        List<Announcement> arrived = new ArrayList<>(sent);
        sent.clear();
        arrived.removeIf(a -> !elections.containsKey(a.from()));
        for (Announcement a : arrived) {
            members(a.from()).stream()
                    .filter(Member::isAlive)
                    .map(m -> elections.get(m.id()))
                    .filter(e -> e != null && e != elections.get(a.from()))
                    .forEach(e -> receive(e, a));
        }
    }

    private void receive(RunnerElection node, Announcement a) {
        node.onAnnouncement(a.runner(), a.term());
        if (node.isOutdated(a.term())) {
            elections.get(a.from()).onAnnouncement(node.runner().orElseThrow(), node.term());
        }
        leaving.forEach(id -> elections.get(id).resign());
    }

    private void tick(NodeId id, RunnerElection node) {
        Map<NodeId, Member> byId = members(id).stream().collect(Collectors.toMap(Member::id, Function.identity()));
        List<NodeId> accepting = byId.values().stream()
                .filter(Member::acceptsWork)
                .map(Member::id)
                .toList();
        List<Candidate> candidates = Rendezvous.rank("batches", accepting).stream()
                .map(byId::get)
                .map(m -> new Candidate(
                        m.id(), m.state().incarnation(), m.location().capacityMillicores(), true))
                .toList();
        Set<NodeId> suspects = byId.values().stream()
                .filter(m -> m.state().liveness() == Liveness.SUSPECT)
                .filter(m -> !m.state().leaving())
                .map(Member::id)
                .collect(Collectors.toSet());
        node.onMajority(node(id).majority);
        Change change = node.updateMembers(cluster.nowMs, candidates, suspects);
        if (change != Change.NONE) {
            elected += change == Change.ELECTED ? 1 : 0;
            handovers += change == Change.ELECTED ? 0 : 1;
            firstMs = firstMs < 0 ? cluster.nowMs - beginMs : firstMs;
        }
        boolean due = cluster.nowMs - announcedMs.getOrDefault(id, 0L) >= ANNOUNCE_PERIOD_MS;
        if (node.announces() && (due || change != Change.NONE)) {
            announcedMs.put(id, cluster.nowMs);
            sent.add(new Announcement(id, node.runner().orElseThrow(), node.term()));
        }
    }
}
