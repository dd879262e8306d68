package org.magnoliabridge.bundle;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.bundle.BundleCore.Checks;

/** Runs a small fleet of cores through the faults of section 1 and checks I6 and I14 from outside. */
class BundleFaultsTest {
    private static final int NODES = 5;

    private static List<String> run(String name, Checks checks, Scenario scenario) throws Exception {
        BundleCluster fleet = new BundleCluster(NODES, checks);
        scenario.play(fleet);
        String kind = checks.equals(Checks.ALL) ? "all checks on" : checks.toString();
        String result = fleet.violations.isEmpty() ? "holds" : "violated: " + fleet.violations.get(0);
        FaultReport.add(name, kind, result);
        return fleet.violations;
    }

    private static void holds(String name, Scenario scenario) throws Exception {
        assertThat(name, run(name, Checks.ALL, scenario), empty());
    }

    /** Guards I14: watch events that come late, twice or for nothing change nothing but the time. */
    @Test
    void lateAndDuplicateWatchEvents() throws Exception {
        holds("late and duplicate watch events", fleet -> {
            fleet.run(2_000);
            for (int i = 0; i < 5; i++) {
                fleet.roll();
                fleet.input(0, new BundleInput.Changed());
                fleet.input(0, new BundleInput.Changed());
                fleet.run(300);
                fleet.input(1, new BundleInput.Changed());
            }
            fleet.run(3_000);
            fleet.requireEverywhere(6);
        });
    }

    private static void oldCopy(BundleCluster fleet) throws Exception {
        fleet.run(2_000);
        byte[] old = fleet.signedHead().pack();
        byte[] noneWithdrawn = Withdrawals.NONE.write();
        BundleCluster.DelayedReplies delayed = fleet.delayReplies(0);
        fleet.run(1_500);
        fleet.withdraw();
        fleet.roll();
        fleet.run(3_500);
        delayed.release();
        fleet.input(1, new BundleInput.BundleFromPeer(old));
        fleet.input(1, new BundleInput.WithdrawalsFromPeer(noneWithdrawn));
        fleet.run(14_000);
    }

    /** Guards I14: an old copy from a peer, or a late answer of the platform, never reverts a bundle or withdrawal. */
    @Test
    void oldCopies() throws Exception {
        holds("old copy", BundleFaultsTest::oldCopy);
        List<String> off = run("old copy", new Checks(false, true, true), BundleFaultsTest::oldCopy);
        assertThat("the checker must notice the missing version check", off, not(empty()));
    }

    private static void forged(BundleCluster fleet) throws Exception {
        fleet.run(2_000);
        fleet.input(1, new BundleInput.BundleFromPeer(fleet.forged().pack()));
        fleet.run(2_000);
    }

    /** Guards against a bundle that no operator signed. */
    @Test
    void forgedBundle() throws Exception {
        holds("forged bundle", BundleFaultsTest::forged);
        List<String> off = run("forged bundle", new Checks(true, true, false), BundleFaultsTest::forged);
        assertThat("the checker must notice the missing signature check", off, not(empty()));
    }

    private static void cutAlone(BundleCluster fleet) throws Exception {
        fleet.run(5_000);
        fleet.cut(4);
        fleet.withdraw();
        fleet.run(30_000);
        assertThat(fleet.hasChecksDisabled() || !fleet.serves(4), is(true));
        assertThat(fleet.serves(0), is(true));
        fleet.heal();
        fleet.run(2_000);
        assertThat(fleet.serves(4), is(true));
        fleet.requireEverywhere(1);
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
        holds("withdrawal during partition", fleet -> {
            fleet.run(5_000);
            fleet.cut(3, 4);
            fleet.withdraw();
            fleet.run(15_000);
            assertThat(fleet.serves(3), is(false));
            assertThat(fleet.serves(1), is(true));
            fleet.heal();
            fleet.run(3_000);
            assertThat(fleet.serves(3), is(true));
        });
    }

    /** Guards against a platform outage that stops the service. */
    @Test
    void platformOutForAll() throws Exception {
        holds("platform out for all", fleet -> {
            fleet.run(5_000);
            fleet.store.down = true;
            for (int i = 0; i < 120; i++) {
                fleet.run(1_000);
                assertThat("second " + i, fleet.servingNodes(), equalTo(NODES));
            }
            fleet.store.down = false;
            fleet.withdraw();
            fleet.run(12_000);
        });
    }

    /** Guards I14: a node that restarts during an outage serves again with the newest bundle and withdrawals. */
    @Test
    void restartDuringPlatformOutage() throws Exception {
        holds("restart during platform outage", fleet -> {
            fleet.run(3_000);
            fleet.roll();
            fleet.withdraw();
            fleet.run(3_000);
            fleet.store.down = true;
            fleet.restart(2);
            assertThat(fleet.serves(2), is(false));
            fleet.run(3_000);
            assertThat(fleet.serves(2), is(true));
            fleet.requireEverywhere(2);
        });
    }

    /** Guards I6 with a node that was paused: it must not serve on what it saw before the pause. */
    @Test
    void pausedNode() throws Exception {
        holds("paused node", fleet -> {
            fleet.run(5_000);
            fleet.pause(4);
            fleet.withdraw();
            fleet.run(20_000);
            assertThat(fleet.serves(4), is(false));
            fleet.heal();
            fleet.run(2_000);
            assertThat(fleet.serves(4), is(true));
        });
    }

    /** One course of events. */
    @FunctionalInterface
    private interface Scenario {
        void play(BundleCluster fleet) throws Exception;
    }
}
