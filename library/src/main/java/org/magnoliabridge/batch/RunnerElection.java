package org.magnoliabridge.batch;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.ids.NodeId;

/**
 * Elects the node that runs the batches, without waiting for a lease to expire.
 *
 * <p>A node stays the runner while the others see it alive, so that its progress is not lost when another node joins.
 * When it is gone, the first live node in rendezvous order announces itself with the next term. Two runners at the same
 * time waste work but break no guarantee; the higher term wins, then the lower node id.
 */
public final class RunnerElection {
    // A node that has just started knows no other members, and would announce itself although there is a runner.
    private static final long SETTLE_MS = 800;

    private final NodeId self;
    private final long startedMs;
    private long term;
    private Optional<NodeId> runner = Optional.empty();

    public RunnerElection(NodeId self, long nowMs) {
        this.self = Objects.requireNonNull(self);
        this.startedMs = nowMs;
    }

    /** Returns the node that runs the batches, if known. */
    public Optional<NodeId> runner() {
        return runner;
    }

    /** Returns whether this node runs the batches. */
    public boolean isRunner() {
        return runner.filter(self::equals).isPresent();
    }

    /** Returns the term of the runner. */
    public long term() {
        return term;
    }

    /** Handles the announcement of another node; returns whether the runner changed. */
    public boolean onAnnouncement(NodeId node, long newTerm) {
        boolean wins = newTerm > term
                || (newTerm == term && runner.map(r -> node.compareTo(r) < 0).orElse(true));
        boolean changed = wins && runner.filter(node::equals).isEmpty();
        if (wins) {
            term = newTerm;
            runner = Optional.of(node);
        }
        return changed;
    }

    /**
     * Updates the live members that accept work, given in rendezvous order; returns whether this node has become the
     * runner and must announce it.
     */
    public boolean updateMembers(long nowMs, List<NodeId> ranked) {
        boolean alive = runner.filter(ranked::contains).isPresent();
        boolean first = !ranked.isEmpty() && ranked.getFirst().equals(self);
        if (alive || !first || nowMs - startedMs < SETTLE_MS) {
            return false;
        }
        term++;
        runner = Optional.of(self);
        return true;
    }

    /** Resigns as the runner because this node is leaving; another node announces itself when it observes that. */
    public void resign() {
        if (isRunner()) {
            runner = Optional.empty();
        }
    }
}
