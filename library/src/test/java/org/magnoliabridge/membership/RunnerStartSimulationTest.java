package org.magnoliabridge.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliabridge.batch.RunnerElection;
import org.magnoliabridge.batch.RunnerElection.Candidate;
import org.magnoliabridge.batch.RunnerElection.Change;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.membership.MemberState.Liveness;

/** Elections of nodes that start within a second or two after a common loss of power, on a virtual clock. */
class RunnerStartSimulationTest {
    private static final int NODES = 66;
    private static final int LARGE_NODES = 8;
    private static final int LARGE = 1_500;
    private static final int SMALL = 360;
    private static final long STEP_MS = 100;
    private static final long ANNOUNCE_PERIOD_MS = 1_000;
    private static final int RUNS = 10;
    // From the last start to a runner.
    private static final long LIMIT_MS = 3_000;

    /** What happened in one start of the deployment. */
    private record Outcome(int elected, int handovers, long firstMs, long runners) {}

    private record Announcement(NodeId from, NodeId runner, long term) {}

    private static final class Run {
        final Cluster cluster;
        final Map<Integer, Long> startsMs = new HashMap<>();
        final Map<NodeId, RunnerElection> elections = new TreeMap<>();
        final Map<NodeId, Long> announcedMs = new HashMap<>();
        final List<Announcement> sent = new ArrayList<>();
        final long beginMs;
        int elected;
        int handovers;
        long firstMs = -1;

        Run(int nodes, int listed, long spreadMs, long seed) {
            Random random = new Random(seed);
            cluster = new Cluster(listed, seed, MembershipSettings.FAST, i -> i % NODES < LARGE_NODES ? LARGE : SMALL);
            beginMs = cluster.nowMs;
            for (int i = 0; i < nodes; i++) {
                startsMs.put(i, beginMs + (spreadMs == 0 ? 0 : random.nextLong(spreadMs)));
            }
        }

        Outcome run(long durationMs) {
            while (cluster.nowMs < beginMs + durationMs) {
                startsMs.forEach(this::startWhenDue);
                cluster.run(STEP_MS);
                deliver();
                elections.forEach(this::tick);
            }
            long runners =
                    elections.values().stream().filter(RunnerElection::isRunner).count();
            return new Outcome(elected, handovers, firstMs, runners);
        }

        private void startWhenDue(int index, long atMs) {
            if (atMs <= cluster.nowMs && !cluster.nodes.containsKey(index)) {
                cluster.start(index, 1);
                cluster.list(index);
                elections.put(Cluster.id(index), new RunnerElection(Cluster.id(index), cluster.nowMs));
            }
        }

        private Cluster.Node node(NodeId id) {
            return cluster.nodes.get(Integer.parseInt(id.value().substring("node-".length())));
        }

        private List<Member> members(NodeId id) {
            return node(id).core.members();
        }

        private void deliver() {
            List<Announcement> arrived = List.copyOf(sent);
            sent.clear();
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

    /** Guards against several runners, and so several replacements, after a common loss of power. */
    @ParameterizedTest
    @ValueSource(longs = {500, 1_500, 3_000})
    void nodesThatStartTogetherElectOne(long spreadMs) {
        for (long seed = 1; seed <= RUNS; seed++) {
            String run = "nodes start within " + spreadMs + " ms, seed " + seed;
            Outcome outcome = new Run(NODES, NODES, spreadMs, seed).run(8_000);
            assertThat(run + ", elected", outcome.elected(), is(1));
            assertThat(run + ", handovers", outcome.handovers(), lessThanOrEqualTo(1));
            assertThat(run + ", runners", outcome.runners(), is(1L));
            assertThat(run + ", first election", outcome.firstMs(), lessThanOrEqualTo(spreadMs + LIMIT_MS));
        }
    }

    /** Guards against batches that nobody runs because the other nodes do not come back. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 9, 66})
    void aNodeWhoseOthersAreGoneRunsTheBatches(int listed) {
        for (long seed = 1; seed <= RUNS; seed++) {
            Outcome outcome = new Run(1, listed, 0, seed).run(6_000);
            assertThat("seed " + seed, outcome.runners(), is(1L));
            assertThat("seed " + seed, outcome.firstMs(), lessThanOrEqualTo(LIMIT_MS));
        }
    }
}
