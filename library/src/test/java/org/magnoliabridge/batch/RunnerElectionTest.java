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

    /** Guards against a node that announces itself before it can have learned of the current runner. */
    @Test
    void waitsAfterStartBeforeAnnouncingItself() {
        assertThat(election.updateMembers(100, List.of(B)), is(false));
        assertThat(election.updateMembers(1_000, List.of(B)), is(true));
        assertThat(election.isRunner(), is(true));
    }

    /** Guards against interrupting runs because a node of higher rank has joined. */
    @Test
    void runnerStaysWhileItIsAlive() {
        election.updateMembers(1_000, List.of(B));
        assertThat(election.updateMembers(2_000, List.of(A, B)), is(false));
        assertThat(election.runner(), is(Optional.of(B)));
    }

    /** Guards against batches that have no runner after theirs has failed. */
    @Test
    void firstLiveNodeReplacesAFailedRunner() {
        election.onAnnouncement(A, 4);
        assertThat(election.updateMembers(2_000, List.of(C, B)), is(false));
        assertThat(election.updateMembers(2_100, List.of(B, C)), is(true));
        assertThat(election.term(), is(5L));
    }

    /** Guards against a permanent disagreement: all nodes must agree on the same runner. */
    @Test
    void higherTermAndThenLowerNameWins() {
        election.updateMembers(1_000, List.of(B));
        assertThat(election.onAnnouncement(C, 1), is(false));
        assertThat(election.onAnnouncement(A, 1), is(true));
        assertThat(election.onAnnouncement(C, 2), is(true));
        assertThat(election.runner(), is(Optional.of(C)));
    }
}
