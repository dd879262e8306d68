package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
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
        assertThat(election.members(100, List.of(B), true), is(false));
        assertThat(election.members(1_000, List.of(B), true), is(true));
        assertThat(election.isSelf(), is(true));
    }

    /** Guards against runs that are broken off because a node that ranks higher has joined. */
    @Test
    void runnerStaysWhileItIsAlive() {
        election.members(1_000, List.of(B), true);
        assertThat(election.members(2_000, List.of(A, B), true), is(false));
        assertThat(election.runner(), is(Optional.of(B)));
    }

    /** Guards against batches without a runner when it dies. */
    @Test
    void firstLiveNodeFollowsADeadRunner() {
        election.announced(500, A, 4);
        assertThat(election.members(2_000, List.of(C, B), false), is(false));
        assertThat(election.members(2_100, List.of(B, C), false), is(true));
        assertThat(election.term(), is(5L));
    }

    /** Guards against two runners for good: both must agree on the same one. */
    @Test
    void higherTermAndThenLowerNameWins() {
        election.members(1_000, List.of(B), true);
        assertThat(election.announced(1_100, C, 1), is(false));
        assertThat(election.announced(1_200, A, 1), is(true));
        assertThat(election.announced(1_300, C, 2), is(true));
        assertThat(election.runner(), is(Optional.of(C)));
    }

    /** Guards against a runner that takes itself for the only one while another may list results. */
    @Test
    void isExclusiveOnlyAfterATimeWithoutDoubt() {
        election.members(1_000, List.of(B, A), true);
        assertThat(election.exclusiveSinceMs(3_900), is(OptionalLong.empty()));
        assertThat(election.exclusiveSinceMs(4_000), is(OptionalLong.of(4_000)));
        election.members(5_000, List.of(B), false);
        assertThat(election.exclusiveSinceMs(5_100), is(OptionalLong.empty()));
        election.announced(9_000, A, 0);
        assertThat(election.exclusiveSinceMs(9_100), is(OptionalLong.empty()));
        assertThat(election.exclusiveSinceMs(12_000), is(OptionalLong.of(12_000)));
    }
}
