package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.NodeId;

class RunnerElectionTest {
    private static final NodeId A = new NodeId("a");
    private static final NodeId B = new NodeId("b");
    private static final NodeId C = new NodeId("c");

    private final RunnerElection election = new RunnerElection(B, 0);

    /** Guards against a node that announces itself before it can know of a runner. */
    @Test
    void waitsAfterItsStart() {
        assertThat(election.updateMembers(100, List.of(B)), is(false));
        assertThat(election.updateMembers(1_000, List.of(B)), is(true));
        assertThat(election.isRunner(), is(true));
    }

    /** Guards against runs that are broken off because a node that ranks higher has joined. */
    @Test
    void runnerStaysWhileItIsAlive() {
        election.updateMembers(1_000, List.of(B));
        assertThat(election.updateMembers(2_000, List.of(A, B)), is(false));
        assertThat(election.runner(), is(Optional.of(B)));
    }

    /** Guards against batches without a runner when it dies. */
    @Test
    void firstLiveNodeFollowsADeadRunner() {
        election.onAnnouncement(A, 4);
        assertThat(election.updateMembers(2_000, List.of(C, B)), is(false));
        assertThat(election.updateMembers(2_100, List.of(B, C)), is(true));
        assertThat(election.term(), is(5L));
    }

    /** Guards against two runners for good: both must agree on the same one. */
    @Test
    void higherTermAndThenLowerNameWins() {
        election.updateMembers(1_000, List.of(B));
        assertThat(election.onAnnouncement(C, 1), is(false));
        assertThat(election.onAnnouncement(A, 1), is(true));
        assertThat(election.onAnnouncement(C, 2), is(true));
        assertThat(election.runner(), is(Optional.of(C)));
    }
}
