package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.Region;
import org.magnoliabridge.membership.Member;
import org.magnoliabridge.membership.MemberState;
import org.magnoliabridge.membership.MemberState.Liveness;
import org.magnoliabridge.membership.NodeLocation;

class NeighbourChoiceTest {
    private static final String NEAR = "near";
    private static final String FAR = "far";

    /** Guards against reads of the endpoint list that grow with the nodes of a data centre. */
    @Test
    void oneNodeOfADataCentreReadsForTheOthers() {
        List<Member> members = members(NEAR, 16);
        members.addAll(members(FAR, 16));
        assertThat(readers(members, Optional.empty()), hasSize(1));
    }

    @Test
    void nodesOfASmallDataCentreReadTheStore() {
        List<Member> members = members(NEAR, 3);
        members.addAll(members(FAR, 16));
        assertThat(readers(members, Optional.empty()), hasSize(3));
    }

    @Test
    void theRunnerReadsTheStoreAndForNobodyElse() {
        List<Member> members = members(NEAR, 16);
        NodeId first = readers(members, Optional.empty()).iterator().next();
        Set<NodeId> readers = readers(members, Optional.of(first));
        assertThat(readers, hasSize(2));
        assertThat(readers.contains(first), is(true));
    }

    /** Guards against a reader that changes whenever one of many nodes is late. */
    @Test
    void aSuspectNodeIsKeptAndADeadOrLeavingOneIsNot() {
        List<Member> members = members(NEAR, 16);
        NodeId first = readers(members, Optional.empty()).iterator().next();
        assertThat(readers(with(members, first, Liveness.SUSPECT, false), Optional.empty()), is(Set.of(first)));
        assertThat(
                readers(with(members, first, Liveness.DEAD, false), Optional.empty())
                        .contains(first),
                is(false));
        Set<NodeId> whileLeaving = readers(with(members, first, Liveness.ALIVE, true), Optional.empty());
        whileLeaving.remove(first);
        assertThat(whileLeaving, hasSize(1));
    }

    /** Returns the nodes of the near data centre that read the store themselves. */
    private static Set<NodeId> readers(List<Member> members, Optional<NodeId> runner) {
        DataCentre near = new DataCentre(NEAR);
        return members.stream()
                .filter(m -> m.location().dataCentre().equals(near))
                .filter(m -> m.state().liveness() != Liveness.DEAD)
                .map(Member::id)
                .filter(id -> {
                    NeighbourChoice choice = new NeighbourChoice(id, near);
                    choice.update(runner, members);
                    return choice.neighbour().isEmpty();
                })
                .collect(Collectors.toSet());
    }

    private static List<Member> members(String dc, int count) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(member(new NodeId(dc + "-" + i), dc, Liveness.ALIVE, false));
        }
        return members;
    }

    private static List<Member> with(List<Member> members, NodeId id, Liveness liveness, boolean leaving) {
        List<Member> changed = new ArrayList<>(members);
        changed.removeIf(m -> m.id().equals(id));
        changed.add(member(id, NEAR, liveness, leaving));
        return changed;
    }

    private static Member member(NodeId id, String dc, Liveness liveness, boolean leaving) {
        return new Member(
                id,
                new MemberState(new Incarnation(1), 0, liveness, leaving),
                new NodeLocation("127.0.0.1:1", "127.0.0.1:2", new DataCentre(dc), new Region("r"), 360),
                0);
    }
}
