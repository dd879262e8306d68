package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.batch.RunnerElection.Candidate;
import org.magnoliabridge.batch.RunnerElection.Change;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;

class RunnerElectionTest {
    private static final NodeId A = new NodeId("a");
    private static final NodeId B = new NodeId("b");
    private static final NodeId C = new NodeId("c");
    private static final int SMALL = 360;
    private static final int LARGE = 1_500;

    private final RunnerElection election = new RunnerElection(B, 0);

    private static Candidate candidate(NodeId node, int capacity) {
        return new Candidate(node, new Incarnation(1), capacity, true);
    }

    private static Candidate withoutStore(NodeId node, int capacity) {
        return new Candidate(node, new Incarnation(1), capacity, false);
    }

    private static List<Candidate> equal(NodeId... nodes) {
        List<Candidate> result = new ArrayList<>();
        for (NodeId node : nodes) {
            result.add(candidate(node, SMALL));
        }
        return result;
    }

    private static Change update(RunnerElection node, long nowMs, List<Candidate> candidates) {
        return node.updateMembers(nowMs, candidates, Set.of());
    }

    /** Guards against a node that announces itself before it can have learned of the current runner. */
    @Test
    void waitsAfterStartBeforeAnnouncingItself() {
        assertThat(update(election, 100, equal(B)), is(Change.NONE));
        assertThat(update(election, 1_000, equal(B)), is(Change.ELECTED));
        assertThat(election.isRunner(), is(true));
    }

    /** Guards against several runners when all nodes start at the same time, and each meets the others one by one. */
    @Test
    void waitsWhileItMeetsFurtherNodes() {
        List<Candidate> met = new ArrayList<>(equal(B));
        for (long now = 100; now < 2_000; now += 100) {
            if (now % 500 == 0) {
                met.add(candidate(new NodeId("n" + now), SMALL));
            }
            assertThat(update(election, now, met), is(Change.NONE));
        }
        assertThat(update(election, 2_000, met), is(Change.ELECTED));
    }

    /** Guards against the same while a node has met few of the others, and against a wait for nodes that are gone. */
    @Test
    void waitsForMostOfTheListedNodes() {
        election.onMajority(false);
        for (long now = 100; now < 2_000; now += 100) {
            assertThat(update(election, now, equal(B, C)), is(Change.NONE));
        }
        assertThat(update(election, 2_000, equal(B, C)), is(Change.ELECTED));
        RunnerElection meets = new RunnerElection(B, 0);
        meets.onMajority(false);
        assertThat(update(meets, 1_000, equal(B, C)), is(Change.NONE));
        meets.onMajority(true);
        assertThat(update(meets, 1_100, equal(B, C)), is(Change.ELECTED));
    }

    /** Guards against interrupting runs because a node of higher rank but no more capacity has joined. */
    @Test
    void runnerStaysWhileItIsAlive() {
        update(election, 1_000, equal(B));
        for (long now = 2_000; now <= 20_000; now += 100) {
            assertThat(update(election, now, equal(A, B)), is(Change.NONE));
        }
        assertThat(election.runner(), is(Optional.of(B)));
    }

    /** Guards against a second runner beside one that is alive but answers pings late. */
    @Test
    void suspectRunnerHasTimeToAnswer() {
        election.onAnnouncement(A, 4);
        assertThat(update(election, 2_000, equal(A, B)), is(Change.NONE));
        for (long now = 2_100; now < 3_100; now += 100) {
            assertThat(election.updateMembers(now, equal(B), Set.of(A)), is(Change.NONE));
        }
        assertThat(update(election, 3_050, equal(A, B)), is(Change.NONE));
        for (long now = 3_100; now < 4_000; now += 100) {
            assertThat(election.updateMembers(now, equal(B), Set.of(A)), is(Change.NONE));
        }
        assertThat(election.updateMembers(4_100, equal(B), Set.of(A)), is(Change.ELECTED));
    }

    /** Guards against a node that was late itself and replaces a runner whose answer waits in its queue. */
    @Test
    void runnerIsNotReplacedAfterOneLateUpdate() {
        election.onAnnouncement(A, 4);
        assertThat(update(election, 2_000, equal(A, B)), is(Change.NONE));
        assertThat(election.updateMembers(2_100, equal(B), Set.of(A)), is(Change.NONE));
        assertThat(election.updateMembers(4_100, equal(B), Set.of(A)), is(Change.NONE));
        assertThat(update(election, 4_200, equal(A, B)), is(Change.NONE));
    }

    /** Guards against a small runner that keeps the role because the largest node is suspect for moments. */
    @Test
    void handsOverToANodeThatIsSuspectNowAndThen() {
        update(election, 1_000, equal(B));
        Candidate self = candidate(B, SMALL);
        Candidate large = candidate(C, LARGE);
        Change change = Change.NONE;
        for (long now = 1_100; now <= 6_000 && change == Change.NONE; now += 100) {
            boolean suspect = now % 1_900 == 0;
            change = suspect
                    ? election.updateMembers(now, List.of(self), Set.of(C))
                    : election.updateMembers(now, List.of(self, large), Set.of());
        }
        assertThat(change, is(Change.HANDED_OVER));
    }

    /** Guards against the wait for a suspect being applied to a runner that is dead or leaves. */
    @Test
    void deadOrLeavingRunnerIsReplacedImmediately() {
        election.onAnnouncement(A, 4);
        update(election, 2_000, equal(A, B));
        assertThat(election.updateMembers(2_100, equal(B), Set.of(A)), is(Change.NONE));
        assertThat(election.updateMembers(2_200, equal(B), Set.of(C)), is(Change.ELECTED));
    }

    /** Guards against a role that nobody has after a runner restarted faster than the others noticed. */
    @Test
    void restartedRunnerIsReplaced() {
        election.onAnnouncement(A, 4);
        assertThat(update(election, 2_000, equal(B, A)), is(Change.NONE));
        election.onAnnouncement(A, 4);
        assertThat(update(election, 2_100, equal(B, A)), is(Change.NONE));
        List<Candidate> restarted = List.of(candidate(B, SMALL), new Candidate(A, new Incarnation(2), SMALL, true));
        assertThat(update(election, 2_200, restarted), is(Change.ELECTED));
        assertThat(election.term(), is(5L));
    }

    /** Guards against a role that nobody has because an announcement arrived after its process had been replaced. */
    @Test
    void lateAnnouncementDoesNotMakeTheNextProcessTheRunner() {
        List<Candidate> restarted = List.of(candidate(B, SMALL), new Candidate(A, new Incarnation(2), SMALL, true));
        update(election, 1_900, restarted);
        election.onAnnouncement(new ProcessName(A, new Incarnation(1)), 4);
        assertThat(update(election, 2_000, restarted), is(Change.ELECTED));
        assertThat(election.term(), is(5L));
        assertThat(election.onAnnouncement(new ProcessName(A, new Incarnation(1)), 4), is(false));
        assertThat(election.isRunner(), is(true));
    }

    /** Guards against a runner that is replaced by the late announcement of its earlier process. */
    @Test
    void lateAnnouncementDoesNotReplaceTheNextProcess() {
        List<Candidate> restarted = List.of(candidate(B, SMALL), new Candidate(A, new Incarnation(2), SMALL, true));
        election.onAnnouncement(new ProcessName(A, new Incarnation(2)), 4);
        election.onAnnouncement(new ProcessName(A, new Incarnation(1)), 4);
        assertThat(update(election, 2_000, restarted), is(Change.NONE));
        assertThat(election.runner(), is(Optional.of(A)));
    }

    /** Guards against a runner that is replaced because it announced itself before the table of members shows it. */
    @Test
    void runnerThatTheTableDoesNotShowYetStays() {
        election.onAnnouncement(new ProcessName(A, new Incarnation(2)), 4);
        assertThat(update(election, 2_000, equal(B, A)), is(Change.NONE));
        assertThat(election.runner(), is(Optional.of(A)));
    }

    /** Guards against handovers that all nodes ignore because a restarted runner counts terms anew. */
    @Test
    void restartedRunnerIsToldTheTerm() {
        election.onAnnouncement(A, 4);
        RunnerElection restarted = new RunnerElection(A, 0);
        assertThat(update(restarted, 1_000, equal(A, B)), is(Change.ELECTED));
        assertThat(election.onAnnouncement(A, restarted.term()), is(false));
        assertThat(election.isOutdated(restarted.term()), is(true));
        assertThat(restarted.isOutdated(election.term()), is(false));
        assertThat(restarted.onAnnouncement(election.runner().orElseThrow(), election.term()), is(false));
        assertThat(restarted.isRunner(), is(true));
        assertThat(restarted.term(), is(4L));
        assertThat(election.isOutdated(restarted.term()), is(false));
    }

    /** Guards against batches that have no runner after theirs has failed. */
    @Test
    void firstLiveNodeReplacesAFailedRunner() {
        election.onAnnouncement(A, 4);
        assertThat(update(election, 2_000, equal(C, B)), is(Change.NONE));
        assertThat(update(election, 2_100, equal(B, C)), is(Change.ELECTED));
        assertThat(election.term(), is(5L));
    }

    /** Guards against a permanent disagreement: all nodes must agree on the same runner. */
    @Test
    void higherTermAndThenLowerNameWins() {
        update(election, 1_000, equal(B));
        assertThat(election.onAnnouncement(C, 1), is(false));
        assertThat(election.onAnnouncement(A, 1), is(true));
        assertThat(election.onAnnouncement(C, 2), is(true));
        assertThat(election.runner(), is(Optional.of(C)));
    }

    /** Guards against all batches of a deployment on a node that is too slow for them. */
    @Test
    void nodeWithMostCapacityIsElected() {
        List<Candidate> smallFirst = List.of(candidate(A, SMALL), candidate(B, LARGE), candidate(C, LARGE));
        assertThat(update(election, 1_000, smallFirst), is(Change.ELECTED));
        RunnerElection small = new RunnerElection(A, 0);
        assertThat(update(small, 1_000, smallFirst), is(Change.NONE));
        RunnerElection unknown = new RunnerElection(A, 0);
        assertThat(update(unknown, 1_000, List.of(candidate(A, 0), candidate(B, SMALL))), is(Change.NONE));
    }

    /** Guards against a small node that keeps the batches because it came up first after a common kill. */
    @Test
    void handsOverToASettledNodeWithMoreCapacity() {
        List<Candidate> both = List.of(candidate(B, SMALL), candidate(C, LARGE));
        assertThat(update(election, 1_000, equal(B)), is(Change.ELECTED));
        assertThat(update(election, 1_100, both), is(Change.NONE));
        assertThat(update(election, 3_000, both), is(Change.NONE));
        assertThat(election.isRunner(), is(true));
        assertThat(update(election, 3_100, both), is(Change.HANDED_OVER));
        assertThat(election.isRunner(), is(false));
        assertThat(election.runner(), is(Optional.of(C)));
        assertThat(election.term(), is(2L));
        assertThat(update(election, 3_200, both), is(Change.NONE));
    }

    /** Guards against a runner that hands over to a node which fails or restarts again and again. */
    @Test
    void nodeThatWasAwayOrRestartedSettlesAnew() {
        List<Candidate> both = List.of(candidate(B, SMALL), candidate(C, LARGE));
        List<Candidate> restarted = List.of(candidate(B, SMALL), new Candidate(C, new Incarnation(2), LARGE, true));
        update(election, 1_000, equal(B));
        update(election, 1_100, both);
        update(election, 3_000, equal(B));
        assertThat(update(election, 3_200, both), is(Change.NONE));
        assertThat(update(election, 5_100, restarted), is(Change.NONE));
        assertThat(update(election, 7_000, restarted), is(Change.NONE));
        assertThat(update(election, 7_100, restarted), is(Change.HANDED_OVER));
    }

    /** Guards against a runner whose store calls all go through another node, while others reach the store. */
    @Test
    void nodeThatTheStoreServesIsElected() {
        List<Candidate> firstIsTurnedAway = List.of(withoutStore(A, SMALL), candidate(B, SMALL), candidate(C, SMALL));
        assertThat(update(election, 1_000, firstIsTurnedAway), is(Change.ELECTED));
        RunnerElection turnedAway = new RunnerElection(A, 0);
        assertThat(update(turnedAway, 1_000, firstIsTurnedAway), is(Change.NONE));
    }

    /** Guards against batches without a runner, or on a node that is too slow, while the store serves few nodes. */
    @Test
    void capacityCountsMoreThanTheStore() {
        assertThat(update(election, 1_000, List.of(withoutStore(B, SMALL))), is(Change.ELECTED));
        RunnerElection large = new RunnerElection(C, 0);
        List<Candidate> smallReaches = List.of(candidate(A, SMALL), withoutStore(C, LARGE));
        assertThat(update(large, 1_000, smallReaches), is(Change.ELECTED));
        for (long now = 1_100; now <= 30_000; now += 100) {
            assertThat(update(large, now, smallReaches), is(Change.NONE));
        }
    }

    /** Guards against batches that are handed to a node which the store turns away. */
    @Test
    void handsOverToALargerNodeOnceTheStoreServesIt() {
        List<Candidate> away = List.of(candidate(B, SMALL), withoutStore(C, LARGE));
        update(election, 1_000, equal(B));
        for (long now = 1_100; now <= 9_000; now += 100) {
            assertThat(update(election, now, away), is(Change.NONE));
        }
        List<Candidate> served = List.of(candidate(B, SMALL), candidate(C, LARGE));
        assertThat(update(election, 9_100, served), is(Change.HANDED_OVER));
        RunnerElection neither = new RunnerElection(B, 0);
        List<Candidate> none = List.of(withoutStore(B, SMALL), withoutStore(C, LARGE));
        update(neither, 1_000, equal(B));
        update(neither, 1_100, none);
        assertThat(update(neither, 3_100, none), is(Change.HANDED_OVER));
    }

    /** Guards against a runner that keeps the batches for as long as the store turns it away. */
    @Test
    void handsOverWhenTheStoreNoLongerServesIt() {
        update(election, 1_000, equal(B, C));
        List<Candidate> lost = List.of(withoutStore(B, SMALL), candidate(C, SMALL));
        for (long now = 1_100; now <= 20_000; now += 100) {
            update(election, now, equal(B, C));
        }
        for (long now = 20_100; now < 28_100; now += 100) {
            assertThat(update(election, now, lost), is(Change.NONE));
        }
        assertThat(update(election, 28_100, lost), is(Change.HANDED_OVER_FOR_STORE));
        assertThat(election.runner(), is(Optional.of(C)));
        assertThat(election.term(), is(2L));
    }

    /** Guards against a series of replacements when the store serves no node, and nodes notice that at other times. */
    @Test
    void runnerStaysDuringAnOutageOfTheStore() {
        update(election, 1_000, equal(B, C));
        for (long now = 1_100; now <= 60_000; now += 100) {
            // An outage of 9 s in each 20 s. The other node notices its begin 6 s later; this one its end 2 s later.
            long phase = now % 20_000;
            boolean own = phase >= 11_000;
            boolean other = phase < 6_000 || phase >= 9_000;
            List<Candidate> both = List.of(
                    new Candidate(B, new Incarnation(1), SMALL, own),
                    new Candidate(C, new Incarnation(1), SMALL, other));
            assertThat(update(election, now, both), is(Change.NONE));
        }
    }

    /** Guards against one replacement after the other while the store turns away one node, then another. */
    @Test
    void newRunnerKeepsTheBatchesForAWhile() {
        List<Candidate> served = equal(B, C);
        List<Candidate> lost = List.of(withoutStore(B, SMALL), candidate(C, SMALL));
        update(election, 1_000, served);
        for (long now = 1_100; now < 11_100; now += 100) {
            assertThat(update(election, now, lost), is(Change.NONE));
        }
        assertThat(update(election, 11_100, lost), is(Change.HANDED_OVER_FOR_STORE));
        assertThat(election.onAnnouncement(B, 3), is(true));
        for (long now = 11_200; now < 21_200; now += 100) {
            assertThat(update(election, now, lost), is(Change.NONE));
        }
        assertThat(update(election, 21_200, lost), is(Change.HANDED_OVER_FOR_STORE));
    }

    /** Guards against a role that nobody has because the one message about a handover was lost. */
    @Test
    void announcesTheSuccessorUntilItAnnouncesItself() {
        List<Candidate> both = List.of(candidate(B, SMALL), candidate(C, LARGE));
        update(election, 1_000, both);
        election.onAnnouncement(A, 1);
        assertThat(election.announces(), is(false));
        update(election, 1_100, equal(B));
        assertThat(election.announces(), is(true));
        update(election, 1_200, both);
        assertThat(update(election, 3_200, both), is(Change.HANDED_OVER));
        assertThat(election.announces(), is(true));
        assertThat(election.onAnnouncement(B, election.term() - 1), is(false));
        assertThat(election.announces(), is(true));
        RunnerElection next = new RunnerElection(C, 0);
        assertThat(next.onAnnouncement(C, election.term()), is(true));
        assertThat(next.isRunner(), is(true));
        assertThat(election.onAnnouncement(C, next.term()), is(false));
        assertThat(election.announces(), is(false));
        assertThat(election.successor(), is(Optional.of(C)));
    }

    /** Guards against a role that is lost because the successor failed before it took it. */
    @Test
    void replacesASuccessorThatFailed() {
        List<Candidate> both = List.of(candidate(B, SMALL), candidate(C, LARGE));
        update(election, 1_000, equal(B));
        update(election, 1_100, both);
        update(election, 3_100, both);
        assertThat(update(election, 3_200, equal(B)), is(Change.ELECTED));
        assertThat(election.term(), is(3L));
        assertThat(election.successor(), is(Optional.empty()));
    }

    /**
     * Guards against two runners or none, and against a role that wanders, for nodes of any size that come up in any
     * order and lose announcements.
     */
    @Property(tries = 200, seed = "61")
    void nodesAgreeOnTheLargestWithoutFlapping(@ForAll long seed) {
        Random random = new Random(seed);
        Map<NodeId, RunnerElection> nodes = new TreeMap<>();
        Map<NodeId, Long> startsMs = new TreeMap<>();
        List<Candidate> all = new ArrayList<>();
        for (int i = 0; i < 2 + random.nextInt(5); i++) {
            Candidate c = candidate(new NodeId("n" + i), 250 * random.nextInt(4));
            all.add(random.nextInt(all.size() + 1), c);
            startsMs.put(c.node(), (long) random.nextInt(3_000));
        }
        int best = all.stream().mapToInt(Candidate::capacityMillicores).max().orElseThrow();
        long changedMs = 0;
        for (long now = 0; now <= 15_000; now += 100) {
            long at = now;
            List<Candidate> up =
                    all.stream().filter(c -> startsMs.get(c.node()) <= at).toList();
            up.forEach(c -> nodes.computeIfAbsent(c.node(), n -> new RunnerElection(n, at)));
            for (RunnerElection node : nodes.values()) {
                if (update(node, now, up) != Change.NONE) {
                    changedMs = now;
                }
                if (node.announces()) {
                    nodes.values().stream()
                            .filter(other -> other != node && (at > 10_000 || random.nextInt(3) > 0))
                            .forEach(other -> other.onAnnouncement(node.runner().orElseThrow(), node.term()));
                }
            }
        }
        List<NodeId> runners = nodes.entrySet().stream()
                .filter(e -> e.getValue().isRunner())
                .map(Map.Entry::getKey)
                .toList();
        assertThat(runners.size(), is(1));
        nodes.values().forEach(n -> assertThat(n.runner(), equalTo(Optional.of(runners.getFirst()))));
        int chosen = all.stream()
                .filter(c -> c.node().equals(runners.getFirst()))
                .findFirst()
                .orElseThrow()
                .capacityMillicores();
        assertThat(chosen, is(best));
        // Starts end at 3 s; from then on a handover takes 2 s, and at most one is needed.
        assertThat(changedMs <= 6_000, is(true));
    }
}
