package org.magnoliabridge.daemon;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.membership.Member;

/**
 * Chooses the nodes through which a store call is relayed: the one that carried the last call, then nodes that report
 * that the store serves them and did not fail, then others. Thread-safe.
 */
final class RelayPeers {
    // Limits the load during an outage of the store, when each store call would otherwise be sent to every node.
    private static final int MAX_NODES_TRIED = 2;

    private final NodeId self;
    private final RandomGenerator random;
    private final Set<NodeId> failed = new HashSet<>();
    private Optional<NodeId> carrier = Optional.empty();

    RelayPeers(NodeId self, RandomGenerator random) {
        this.self = Objects.requireNonNull(self);
        this.random = Objects.requireNonNull(random);
    }

    /** Returns the nodes to try, in this order. */
    synchronized List<NodeId> choose(List<Member> members) {
        List<Member> alive = new ArrayList<>(members.stream()
                .filter(Member::isAlive)
                .filter(m -> !m.id().equals(self))
                .toList());
        Collections.shuffle(alive, random);
        alive.sort(Comparator.comparingInt(this::preference));
        return alive.stream().limit(MAX_NODES_TRIED).map(Member::id).toList();
    }

    /** Records that a node carried a call to the store. */
    synchronized void carried(NodeId node) {
        carrier = Optional.of(node);
        failed.remove(node);
    }

    /** Records that a node did not answer, or could not reach the store. */
    synchronized void failed(NodeId node) {
        carrier = carrier.filter(c -> !c.equals(node));
        failed.add(node);
    }

    /** Records that no chosen node carried a call: what is known of failures may be outdated. */
    synchronized void noneCarried(List<Member> members) {
        if (members.stream().map(Member::id).allMatch(id -> id.equals(self) || failed.contains(id))) {
            failed.clear();
        }
    }

    private int preference(Member m) {
        if (carrier.filter(m.id()::equals).isPresent() && m.state().storeServes()) {
            return 0;
        }
        return (failed.contains(m.id()) ? 2 : 1) + (m.state().storeServes() ? 0 : 2);
    }
}
