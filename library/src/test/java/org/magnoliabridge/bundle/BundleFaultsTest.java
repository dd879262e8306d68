package org.magnoliabridge.bundle;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.bundle.BundleCore.Checks;

/** Runs a small cluster of cores through the faults of section 1; a checker outside of the cores checks I6 and I14. */
class BundleFaultsTest {
    private static final int NODES = 5;

    private static List<String> run(String name, Checks checks, Scenario scenario) throws Exception {
        BundleCluster cluster = new BundleCluster(NODES, checks);
        scenario.play(cluster);
        String kind = checks.equals(Checks.ALL) ? "all checks on" : checks.toString();
        String result = cluster.violations.isEmpty() ? "holds" : "violated: " + cluster.violations.get(0);
        FaultReport.add(name, kind, result);
        return cluster.violations;
    }

    private static void holds(String name, Scenario scenario) throws Exception {
        assertThat(name, run(name, Checks.ALL, scenario), empty());
    }

    /** Guards I14: watch events that are late, duplicate or false affect only when a change is applied. */
    @Test
    void lateAndDuplicateWatchEvents() throws Exception {
        holds("late and duplicate watch events", cluster -> {
            cluster.run(2_000);
            for (int i = 0; i < 5; i++) {
                cluster.roll();
                cluster.input(0, new BundleInput.Changed());
                cluster.input(0, new BundleInput.Changed());
                cluster.run(300);
                cluster.input(1, new BundleInput.Changed());
            }
            cluster.run(3_000);
            cluster.requireEverywhere(6);
        });
    }

    private static void oldCopy(BundleCluster cluster) throws Exception {
        cluster.run(2_000);
        byte[] old = cluster.signedHead().pack();
        byte[] noneWithdrawn = Withdrawals.NONE.write();
        BundleCluster.DelayedReplies delayed = cluster.delayReplies(0);
        cluster.run(1_500);
        cluster.withdraw();
        cluster.roll();
        cluster.run(3_500);
        delayed.release();
        cluster.input(1, new BundleInput.BundleFromPeer(old));
        cluster.input(1, new BundleInput.WithdrawalsFromPeer(noneWithdrawn));
        cluster.run(14_000);
    }

    /** Guards I14: an old copy from a peer, or a late answer of the platform, never reverts a bundle or withdrawal. */
    @Test
    void oldCopies() throws Exception {
        holds("old copy", BundleFaultsTest::oldCopy);
        List<String> off = run("old copy", new Checks(false, true, true), BundleFaultsTest::oldCopy);
        assertThat("the checker must notice the missing version check", off, not(empty()));
    }

    private static void forged(BundleCluster cluster) throws Exception {
        cluster.run(2_000);
        cluster.input(1, new BundleInput.BundleFromPeer(cluster.forged().pack()));
        cluster.run(2_000);
    }

    /** Guards against a bundle that no operator signed. */
    @Test
    void forgedBundle() throws Exception {
        holds("forged bundle", BundleFaultsTest::forged);
        List<String> off = run("forged bundle", new Checks(true, true, false), BundleFaultsTest::forged);
        assertThat("the checker must notice the missing signature check", off, not(empty()));
    }

    private static void cutAlone(BundleCluster cluster) throws Exception {
        cluster.run(5_000);
        cluster.cut(4);
        cluster.withdraw();
        cluster.run(30_000);
        assertThat(cluster.hasChecksDisabled() || !cluster.serves(4), is(true));
        assertThat(cluster.serves(0), is(true));
        cluster.heal();
        cluster.run(2_000);
        assertThat(cluster.serves(4), is(true));
        cluster.requireEverywhere(1);
    }

    /** Guards I6: a node that is cut off alone refuses keyed work once its confirmation is too old. */
    @Test
    void nodeCutOffAlone() throws Exception {
        holds("node cut off alone", BundleFaultsTest::cutAlone);
        List<String> off = run("node cut off alone", new Checks(true, false, true), BundleFaultsTest::cutAlone);
        assertThat("the checker must notice the missing freshness limit", off, not(empty()));
    }

    /** Guards I6: the smaller side of a partition, without the platform, stops serving a withdrawn key. */
    @Test
    void withdrawalDuringPartition() throws Exception {
        holds("withdrawal during partition", cluster -> {
            cluster.run(5_000);
            cluster.cut(3, 4);
            cluster.withdraw();
            cluster.run(15_000);
            assertThat(cluster.serves(3), is(false));
            assertThat(cluster.serves(1), is(true));
            cluster.heal();
            cluster.run(3_000);
            assertThat(cluster.serves(3), is(true));
        });
    }

    /** Guards against requests being refused because of a platform outage. */
    @Test
    void platformOutForAll() throws Exception {
        holds("platform out for all", cluster -> {
            cluster.run(5_000);
            cluster.store.down = true;
            for (int i = 0; i < 120; i++) {
                cluster.run(1_000);
                assertThat("second " + i, cluster.servingNodes(), equalTo(NODES));
            }
            cluster.store.down = false;
            cluster.withdraw();
            cluster.run(12_000);
        });
    }

    /** Guards I14: a node that restarts during an outage serves again with the newest bundle and withdrawals. */
    @Test
    void restartDuringPlatformOutage() throws Exception {
        holds("restart during platform outage", cluster -> {
            cluster.run(3_000);
            cluster.roll();
            cluster.withdraw();
            cluster.run(3_000);
            cluster.store.down = true;
            cluster.restart(2);
            assertThat(cluster.serves(2), is(false));
            cluster.run(3_000);
            assertThat(cluster.serves(2), is(true));
            cluster.requireEverywhere(2);
        });
    }

    /** Guards I6 for a paused node: after the pause it must not serve with the configuration from before. */
    @Test
    void pausedNode() throws Exception {
        holds("paused node", cluster -> {
            cluster.run(5_000);
            cluster.pause(4);
            cluster.withdraw();
            cluster.run(20_000);
            assertThat(cluster.serves(4), is(false));
            cluster.heal();
            cluster.run(2_000);
            assertThat(cluster.serves(4), is(true));
        });
    }

    /** A sequence of events on a cluster. */
    @FunctionalInterface
    private interface Scenario {
        void play(BundleCluster cluster) throws Exception;
    }
}
