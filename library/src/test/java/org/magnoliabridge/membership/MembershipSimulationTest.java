package org.magnoliabridge.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliabridge.sim.BuildFolder;

/** Runs 9 to 340 cores on a virtual clock, checks the targets of section 1 and prints the measurements. */
class MembershipSimulationTest {
    private static final long SEED = 7;
    private static final long IN_FORCE_LIMIT_MS = 13_000;
    private static final long WITHDRAWAL_LIMIT_MS = 5_000;
    private static final long STEADY_LIMIT_BYTES_PER_S = 4_000;
    private static final int BUNDLE_BYTES = 40_000;
    private static final TreeMap<String, Long> REPORT = new TreeMap<>();

    private static Cluster settled(int size, double loss) {
        Cluster cluster = new Cluster(size, SEED);
        cluster.confirmEverySecond();
        cluster.loss = loss;
        long joined = cluster.runUntil(120_000, 500, n -> n.alive() == size);
        report(size, "loss " + loss, "joined after ms", joined);
        assertThat("seed " + SEED, joined, lessThan(120_000L));
        cluster.change(Item.BUNDLE, 1, BUNDLE_BYTES);
        cluster.change(Item.WITHDRAWALS, 1, 300);
        cluster.run(40_000);
        return cluster;
    }

    private static void report(int size, String scenario, String what, long value) {
        REPORT.put(String.format(Locale.ROOT, "%03d nodes, %s, %s", size, scenario, what), value);
    }

    @AfterAll
    static void write() throws IOException {
        StringBuilder text = new StringBuilder();
        REPORT.forEach(
                (what, value) -> text.append(what).append(": ").append(value).append('\n'));
        Files.writeString(BuildFolder.file("membership-simulation.txt"), text);
        System.out.print(text);
    }

    /** Guards the targets for dissemination time and control traffic, with and without message loss. */
    @ParameterizedTest
    @ValueSource(ints = {9, 40, 120, 340})
    void disseminatesWithinTheTargets(int size) {
        for (double loss : new double[] {0, 0.05}) {
            Cluster cluster = settled(size, loss);
            String scenario = "loss " + loss;
            cluster.nodes.values().forEach(n -> n.sentBytes = 0);
            cluster.nodes.values().forEach(n -> n.receivedBytes = 0);
            cluster.run(60_000);
            long steady = cluster.sentBytes() / size / 60;
            long worst = cluster.nodes.values().stream()
                    .mapToLong(n -> (n.sentBytes + n.receivedBytes) / 60)
                    .max()
                    .orElseThrow();
            report(size, scenario, "steady bytes/s sent per node", steady);
            report(size, scenario, "steady bytes/s sent and received, worst node", worst);
            long before = cluster.sentBytes();
            cluster.change(Item.WITHDRAWALS, 2, 300);
            long withdrawn = cluster.runUntil(60_000, 50, n -> n.held(Item.WITHDRAWALS) == 2);
            report(size, scenario, "withdrawal everywhere after ms", withdrawn);
            cluster.run(10_000 - withdrawn);
            report(
                    size,
                    scenario,
                    "bytes per node for a withdrawal",
                    (cluster.sentBytes() - before) / size - 10 * steady);
            before = cluster.sentBytes();
            cluster.change(Item.BUNDLE, 2, BUNDLE_BYTES);
            long inForce = cluster.runUntil(60_000, 50, n -> n.held(Item.BUNDLE) == 2);
            report(size, scenario, "bundle everywhere after ms", inForce);
            cluster.run(Math.max(0, 10_000 - inForce));
            report(
                    size,
                    scenario,
                    "bytes per node for a bundle of 40000",
                    (cluster.sentBytes() - before) / size - 10 * steady);
            long oldest = cluster.nodes.values().stream()
                    .mapToLong(n -> cluster.nowMs - n.confirmedAtMs)
                    .max()
                    .orElseThrow();
            report(size, scenario, "oldest confirmation ms", oldest);
            report(
                    size,
                    scenario,
                    "nodes without majority",
                    cluster.nodes.values().stream().filter(n -> !n.majority).count());
            report(
                    size,
                    scenario,
                    "least alive",
                    cluster.nodes.values().stream()
                            .mapToLong(n -> n.alive())
                            .min()
                            .orElseThrow());
            assertThat("seed " + SEED, worst, lessThanOrEqualTo(STEADY_LIMIT_BYTES_PER_S));
            assertThat("seed " + SEED, withdrawn, lessThanOrEqualTo(WITHDRAWAL_LIMIT_MS));
            assertThat("seed " + SEED, inForce, lessThanOrEqualTo(IN_FORCE_LIMIT_MS));
        }
    }

    /** Guards I6 in a partition: the smaller region detects that it has no majority, and both sides rejoin later. */
    @ParameterizedTest
    @ValueSource(ints = {9, 40, 120, 340})
    void regionPartitionHeals(int size) {
        Cluster cluster = settled(size, 0.01);
        cluster.cut = (a, b) -> cluster.region(a) != cluster.region(b);
        long noticed = cluster.runUntil(120_000, 50, n -> cluster.region(n.index) == 1 || !n.majority);
        report(size, "partition", "smaller side knows after ms", noticed);
        cluster.run(60_000);
        List<Integer> wrong = cluster.nodes.values().stream()
                .filter(n -> n.majority != (cluster.region(n.index) == 1))
                .map(n -> n.index)
                .toList();
        assertThat("nodes that are wrong about the majority, seed " + SEED, wrong, empty());
        cluster.nodes.values().stream()
                .filter(n -> cluster.region(n.index) == 1)
                .limit(1)
                .forEach(n -> n.hold(new Item(Item.WITHDRAWALS, 2, new byte[300])));
        cluster.run(5_000);
        cluster.cut = (a, b) -> false;
        long healed = cluster.runUntil(120_000, 50, n -> n.held(Item.WITHDRAWALS) == 2);
        report(size, "partition", "withdrawal everywhere after healing ms", healed);
        long whole = cluster.runUntil(180_000, 500, n -> n.alive() == size);
        report(size, "partition", "tables whole after healing ms", healed + whole);
        assertThat("seed " + SEED, noticed, lessThanOrEqualTo(IN_FORCE_LIMIT_MS));
        assertThat("seed " + SEED, healed, lessThanOrEqualTo(IN_FORCE_LIMIT_MS));
        assertThat("seed " + SEED, whole, lessThan(180_000L));
    }

    /** Guards I6 for one node that is isolated from all others, and I14 for restarts during a platform outage. */
    @ParameterizedTest
    @ValueSource(ints = {9, 40, 120, 340})
    void isolatedAndRestartedNodes(int size) {
        Cluster cluster = settled(size, 0.01);
        cluster.platformUp = false;
        cluster.cut = (a, b) -> a == 3 || b == 3;
        long alone = cluster.runUntil(60_000, 50, n -> n.index != 3 || !n.majority);
        report(size, "one cut off", "it knows after ms", alone);
        cluster.cut = (a, b) -> false;
        for (int i = 4; i < 4 + Math.max(2, size / 10); i++) {
            cluster.stop(i);
        }
        cluster.run(10_000);
        for (int i = 4; i < 4 + Math.max(2, size / 10); i++) {
            cluster.start(i, 2);
        }
        long back = cluster.runUntil(60_000, 50, n -> n.held(Item.BUNDLE) == 1 && n.held(Item.WITHDRAWALS) == 1);
        report(size, "restarts without the platform", "bundle again after ms", back);
        long whole = cluster.runUntil(120_000, 500, n -> n.alive() == size);
        report(size, "restarts without the platform", "tables whole after ms", back + whole);
        cluster.run(15_000);
        assertThat(cluster.nodes.values().stream().allMatch(n -> n.majority), is(true));
        assertThat("seed " + SEED, alone, lessThanOrEqualTo(IN_FORCE_LIMIT_MS));
        assertThat("seed " + SEED, back, lessThanOrEqualTo(IN_FORCE_LIMIT_MS));
        assertThat("seed " + SEED, whole, lessThan(120_000L));
    }
}
