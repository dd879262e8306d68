package org.magnoliabridge.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliabridge.addresses.AddressBook;

/** The answers of the directory after nodes have ended, on a virtual clock. */
class DirectorySimulationTest {
    private static final int NODES = 60;
    // The platform allows 3 s beyond the time after which it takes a node for unreachable, which is 3 s at least.
    private static final long LIMIT_MS = 4_500;
    private static final long CONTACT_MS = 3_000;
    private static final long STEP_MS = 100;

    private final Map<Integer, Long> endedMs = new HashMap<>();
    private final Map<Integer, Long> thawedMs = new HashMap<>();
    private final Set<String> late = new TreeSet<>();
    private Cluster cluster;

    private void settle(long seed, double loss) {
        cluster = new Cluster(NODES, seed, MembershipSettings.FAST, i -> 400);
        cluster.loss = loss;
        for (int i = 0; i < NODES; i++) {
            start(i, 1);
        }
        assertThat(cluster.runUntil(60_000, 500, n -> n.alive() == NODES), lessThan(60_000L));
        cluster.run(10_000);
    }

    private void start(int node, long incarnation) {
        endedMs.remove(node);
        cluster.start(node, incarnation);
        cluster.list(node);
    }

    private void end(int from, int to) {
        for (int i = from; i < to; i++) {
            cluster.stop(i);
            endedMs.put(i, cluster.nowMs);
        }
    }

    private void thaw(int node) {
        cluster.frozen.remove(node);
        thawedMs.put(node, cluster.nowMs);
    }

    // Asks every running node in each step; notes the answers that name a node that ended too long ago.
    private void watch(long durationMs) {
        for (long t = 0; t < durationMs; t += STEP_MS) {
            cluster.run(STEP_MS);
            cluster.nodes.values().stream().filter(this::isInTouch).forEach(this::check);
        }
    }

    // A node counts as in touch some time after it was frozen.
    private boolean isInTouch(Cluster.Node node) {
        return !cluster.frozen.contains(node.index)
                && cluster.nowMs - thawedMs.getOrDefault(node.index, Long.MIN_VALUE / 2) >= CONTACT_MS;
    }

    private void check(Cluster.Node node) {
        List<Member> members = node.core.members();
        Set<String> named = new TreeSet<>();
        new AddressBook(members).addresses("10.1.2.3", Optional.empty(), NODES).forEach(e -> named.add(e.address()));
        for (Member member : members) {
            int index = Integer.parseInt(member.id().value().substring("node-".length()));
            Long ended = endedMs.get(index);
            if (ended != null
                    && cluster.nowMs - ended > LIMIT_MS
                    && named.contains(member.location().callerAddress())) {
                late.add("node-" + node.index + " names " + member.id() + " after " + (cluster.nowMs - ended) + " ms");
            }
        }
    }

    /** Guards against addresses of nodes that were killed, one or a third of all at once, with and without loss. */
    @ParameterizedTest
    @CsvSource({"1, 1, 0", "2, 20, 0", "3, 20, 0.05", "4, 40, 0", "5, 40, 0.05"})
    void killedNodesAreSoonNamedNoMore(long seed, int killed, double loss) {
        settle(seed, loss);
        end(0, killed);
        watch(20_000);
        assertThat("seed " + seed, late, empty());
    }

    /** Guards against a node that starts while others have just ended, and learns of them as if they ran. */
    @ParameterizedTest
    @CsvSource({"1, 0", "2, 1000", "3, 3000", "4, 5000", "5, 10000"})
    void restartedNodesDoNotNameNodesThatEndedBefore(long seed, long afterMs) {
        settle(seed, 0.01);
        end(0, 15);
        watch(afterMs);
        end(30, 36);
        for (int i = 30; i < 36; i++) {
            start(i, 2);
        }
        watch(20_000);
        assertThat("seed " + seed, late, empty());
        assertThat(cluster.nodes.values().stream().allMatch(n -> n.alive() == NODES - 15), is(true));
    }

    /** Guards against nodes that are named on and on while they end and start again in turn. */
    @ParameterizedTest
    @CsvSource({"1, 300", "2, 1000"})
    void nodesThatEndInTurnAreSoonNamedNoMore(long seed, long periodMs) {
        settle(seed, 0.01);
        for (int i = 0; i < 20; i++) {
            end(i, i + 1);
            if (i >= 8) {
                start(i - 8, 2);
            }
            watch(periodMs);
        }
        watch(15_000);
        assertThat("seed " + seed, late, empty());
    }

    /** Guards against answers of a node that was frozen while others ended. */
    @ParameterizedTest
    @CsvSource({"1, 1, 4000", "2, 20, 4000", "3, 20, 15000", "4, 20, 65000", "5, 20, 1000", "6, 20, 1600", "7, 20, 2500"
    })
    void thawedNodesDoNotNameNodesThatEndedMeanwhile(long seed, int ended, long frozenMs) {
        settle(seed, 0.01);
        cluster.frozen.add(40);
        cluster.frozen.add(41);
        watch(500);
        end(0, ended);
        watch(frozenMs);
        thaw(40);
        thaw(41);
        watch(20_000);
        assertThat("seed " + seed, late, empty());
    }

    /** Guards against nodes of a data centre that was cut off and has ended meanwhile. */
    @ParameterizedTest
    @CsvSource({"1, 2000", "2, 20000"})
    void nodesThatEndWhileTheyAreCutOffAreSoonNamedNoMore(long seed, long cutMs) {
        settle(seed, 0.01);
        cluster.cut = (a, b) -> (a < 20) != (b < 20);
        watch(cutMs);
        end(0, 10);
        cluster.cut = (a, b) -> false;
        watch(20_000);
        assertThat("seed " + seed, late, empty());
    }
}
