package org.magnoliabridge.daemon;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.membership.Member;
import org.magnoliabridge.membership.MemberState.Liveness;
import org.magnoliabridge.membership.Rendezvous;

/**
 * Chooses the node that reads the endpoint list and the configuration for the other nodes of its data centre: the one
 * with the most processor capacity. Control thread only, but for {@link #neighbour}.
 *
 * <p>The node that runs the batches reads the store and is not chosen, because it is the busiest. A suspect node stays
 * chosen: while it does not answer, its neighbours read the store.
 */
final class NeighbourChoice {
    private static final String SCOPE = "endpoint list";
    // With fewer nodes there is little to save, and each node reads the list sooner by itself.
    private static final int MIN_NODES = 4;

    private final NodeId self;
    private final DataCentre dc;
    private List<Member> members = List.of();
    private Optional<NodeId> runner = Optional.empty();
    private volatile Optional<NodeId> neighbour = Optional.empty();

    NeighbourChoice(NodeId self, DataCentre dc) {
        this.self = self;
        this.dc = dc;
    }

    /** Returns the node to read the list from; empty to read the store. Any thread may call. */
    Optional<NodeId> neighbour() {
        return neighbour;
    }

    /** Updates the choice; cheap if neither the runner nor the members changed. */
    void update(Optional<NodeId> newRunner, List<Member> newMembers) {
        if (newMembers.equals(members) && newRunner.equals(runner)) {
            return;
        }
        members = newMembers;
        runner = newRunner;
        neighbour = choose();
    }

    private Optional<NodeId> choose() {
        Map<NodeId, Integer> capacities = members.stream()
                .filter(m -> m.location().dataCentre().equals(dc))
                .filter(m -> m.state().liveness() != Liveness.DEAD && !m.state().leaving())
                .collect(Collectors.toMap(Member::id, m -> m.location().capacityMillicores()));
        if (capacities.size() < MIN_NODES || runner.equals(Optional.of(self))) {
            return Optional.empty();
        }
        // Of several nodes of the largest capacity, the first in rendezvous order.
        return Rendezvous.rank(SCOPE, capacities.keySet()).stream()
                .filter(id -> !runner.equals(Optional.of(id)))
                .min(Comparator.comparingInt(id -> -capacities.get(id)))
                .filter(id -> !id.equals(self));
    }
}
