package org.magnoliabridge.batch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;

/**
 * Elects the node that runs the batches, without waiting for a lease to expire.
 *
 * <p>Nodes rank by processor capacity, those of equal capacity by whether the store serves their own calls, and then in
 * rendezvous order. When there is no runner, the first live node announces itself with the next term. A runner hands
 * over to the first node if that has more capacity, or as much and the store serves it but not the runner. Else it
 * stays while the others see it alive, so that its progress is not lost when another node joins. A runner that becomes
 * suspect has some time to answer. One that has restarted is replaced, because it has forgotten its role. Two
 * runners at the same time waste work but break no guarantee; the higher term wins, then the lower node id.
 */
public final class RunnerElection {
    // A node that has just started knows few other members, and would announce itself although there is a runner, or
    // although another of the nodes that start with it ranks higher. So it waits until it knows most of the listed
    // nodes and has met no further one for a while.
    private static final long SETTLE_MS = 800;
    // The other nodes may be gone.
    private static final long MAX_SETTLE_MS = 2_000;
    // After a common restart nodes appear at different times; a node that is seen only now and then must not take over.
    private static final long HANDOVER_AFTER_MS = 2_000;
    // Nodes notice an outage of the store, and its end, up to 6 s apart; if it serves no node there is nothing to gain.
    private static final long STORE_HANDOVER_AFTER_MS = 8_000;
    // Each handover interrupts all runs, so an unsteady store must not cause one after the other.
    private static final long STORE_HANDOVER_PERIOD_MS = 10_000;
    // A busy runner answers pings late; one that is gone must be replaced within about 2 s, detection included.
    private static final long SUSPECT_MS = 1_000;
    // If this node itself was late, the runner's answer may have arrived and still wait in its queue.
    private static final long MAX_COUNTED_MS = 200;
    private static final Comparator<Candidate> BY_CAPACITY =
            Comparator.comparingInt(Candidate::capacityMillicores).reversed();
    private static final Comparator<Candidate> BY_RANK =
            BY_CAPACITY.thenComparing(Candidate::storeServes, Comparator.reverseOrder());

    private final NodeId self;
    private final long startedMs;
    private final Map<NodeId, Sighting> sightings = new HashMap<>();
    private final Set<NodeId> seen = new HashSet<>();
    private boolean majority = true;
    private long grownAtMs;
    private long term;
    private Optional<NodeId> runner = Optional.empty();
    private Optional<Incarnation> runnerIncarnation = Optional.empty();
    private long heldTerm;
    private long heldSinceMs;
    private long updatedAtMs;
    private boolean runnerSuspect;
    private long suspectMs;
    private Optional<NodeId> successor = Optional.empty();
    private boolean successorAnnounced;

    /**
     * A live member that accepts work.
     *
     * @param capacityMillicores processor capacity in thousandths of a core, 0 if not known
     * @param storeServes whether the store serves the node's own calls, true if not known
     */
    public record Candidate(NodeId node, Incarnation incarnation, int capacityMillicores, boolean storeServes) {
        public Candidate {
            Objects.requireNonNull(node);
            Objects.requireNonNull(incarnation);
        }
    }

    /** What an update of the members did to the role of this node. */
    public enum Change {
        NONE,
        /** This node has become the runner. */
        ELECTED,
        /** This node is no longer the runner: {@link #runner}, which has more capacity, is once it learns of it. */
        HANDED_OVER,
        /** The same, but because the store serves the new runner and not this node. */
        HANDED_OVER_FOR_STORE
    }

    private record Sighting(Incarnation incarnation, long sinceMs, boolean storeServes, long storeSinceMs) {
        boolean isOf(Candidate c) {
            return incarnation.equals(c.incarnation()) && storeServes == c.storeServes();
        }

        Sighting next(Candidate c, long nowMs) {
            return incarnation.equals(c.incarnation())
                    ? new Sighting(incarnation, sinceMs, c.storeServes(), nowMs)
                    : first(c, nowMs);
        }

        static Sighting first(Candidate c, long nowMs) {
            return new Sighting(c.incarnation(), nowMs, c.storeServes(), nowMs);
        }
    }

    public RunnerElection(NodeId self, long nowMs) {
        this.self = Objects.requireNonNull(self);
        this.startedMs = nowMs;
        this.grownAtMs = nowMs;
        this.updatedAtMs = nowMs;
    }

    /** Records whether this node reaches most of the listed nodes; assumed until the first call. */
    public void onMajority(boolean reached) {
        majority = reached;
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

    /** Returns the node to which this node handed over, while that node is the runner. */
    public Optional<NodeId> successor() {
        return successor;
    }

    /** Returns whether this node announces the runner: as the runner, or until its successor does so. */
    public boolean announces() {
        return isRunner() || (successor.isPresent() && !successorAnnounced);
    }

    /**
     * Handles what a process announces of itself; returns whether the runner changed. An announcement may arrive after
     * its process has ended, and does not make a later process of the node the runner.
     */
    public boolean onAnnouncement(ProcessName process, long newTerm) {
        Optional<Incarnation> known = runnerIncarnation;
        boolean changed = onAnnouncement(process.node(), newTerm);
        if (newTerm == term && runner.filter(process.node()::equals).isPresent()) {
            Incarnation announced = process.incarnation();
            boolean late = !changed && known.filter(k -> k.isAfter(announced)).isPresent();
            runnerIncarnation = late ? known : Optional.of(announced);
        }
        return changed;
    }

    /** Handles what another node tells of the runner; returns whether the runner changed. */
    public boolean onAnnouncement(NodeId node, long newTerm) {
        boolean wins = newTerm > term
                || (newTerm == term && runner.map(r -> node.compareTo(r) < 0).orElse(true));
        boolean changed = wins && runner.filter(node::equals).isEmpty();
        if (runner.filter(node::equals).isPresent()) {
            runnerIncarnation = Optional.empty();
        }
        if (wins) {
            setRunner(node, newTerm);
        } else if (newTerm == term && successor.filter(node::equals).isPresent()) {
            successorAnnounced = true;
        }
        return changed;
    }

    /** Returns whether a node that announces with this term has to be told the runner, because it knows less. */
    public boolean isOutdated(long announcedTerm) {
        return announcedTerm < term && runner.isPresent();
    }

    /**
     * Updates the members; this node must announce any change to the others.
     *
     * @param candidates in rendezvous order
     * @param suspects members that did not answer in time and may still be alive
     */
    public Change updateMembers(long nowMs, List<Candidate> candidates, Set<NodeId> suspects) {
        recordSightings(nowMs, candidates, suspects);
        long elapsedMs = Math.min(nowMs - updatedAtMs, MAX_COUNTED_MS);
        updatedAtMs = nowMs;
        Optional<Candidate> first = candidates.stream().min(BY_RANK);
        if (isRunner()) {
            return handOver(nowMs, first, candidates);
        }
        boolean alive = runner.isPresent() && isAlive(runner.get(), elapsedMs, candidates, suspects);
        boolean mine = first.filter(c -> c.node().equals(self)).isPresent();
        if (alive || !mine || !knowsMembers(nowMs)) {
            return Change.NONE;
        }
        setRunner(self, term + 1);
        return Change.ELECTED;
    }

    /** Resigns as the runner because this node is leaving; another node announces itself when it observes that. */
    public void resign() {
        if (isRunner()) {
            runner = Optional.empty();
        }
    }

    private boolean isAlive(NodeId node, long elapsedMs, List<Candidate> candidates, Set<NodeId> suspects) {
        Optional<Incarnation> found = find(node, candidates).map(Candidate::incarnation);
        if (found.isPresent()) {
            runnerSuspect = false;
            runnerIncarnation = runnerIncarnation.or(() -> found);
            // The table of members may show an earlier process for a while after the runner has announced itself.
            return !found.get().isAfter(runnerIncarnation.get());
        }
        if (!suspects.contains(node)) {
            return false;
        }
        suspectMs = runnerSuspect ? suspectMs + elapsedMs : 0;
        runnerSuspect = true;
        return suspectMs < SUSPECT_MS;
    }

    private boolean knowsMembers(long nowMs) {
        return nowMs - startedMs >= MAX_SETTLE_MS || (majority && nowMs - grownAtMs >= SETTLE_MS);
    }

    private Change handOver(long nowMs, Optional<Candidate> first, List<Candidate> candidates) {
        if (heldTerm != term) {
            heldTerm = term;
            heldSinceMs = nowMs;
        }
        Optional<Candidate> me = find(self, candidates);
        if (me.isEmpty() || first.isEmpty() || BY_RANK.compare(first.get(), me.get()) >= 0) {
            return Change.NONE;
        }
        boolean larger = BY_CAPACITY.compare(first.get(), me.get()) < 0;
        if (larger ? !isSettled(nowMs, first.get(), me.get()) : !hasLostStore(nowMs, first.get(), me.get())) {
            return Change.NONE;
        }
        NodeId next = first.get().node();
        setRunner(next, term + 1);
        successor = Optional.of(next);
        return larger ? Change.HANDED_OVER : Change.HANDED_OVER_FOR_STORE;
    }

    private boolean isSettled(long nowMs, Candidate next, Candidate me) {
        boolean keepsStore = next.storeServes() || !me.storeServes();
        return keepsStore && nowMs - sightings.get(next.node()).sinceMs() >= HANDOVER_AFTER_MS;
    }

    private boolean hasLostStore(long nowMs, Candidate next, Candidate me) {
        long lostSinceMs = sightings.get(me.node()).storeSinceMs();
        long servesSinceMs = sightings.get(next.node()).storeSinceMs();
        return nowMs - Math.max(lostSinceMs, servesSinceMs) >= STORE_HANDOVER_AFTER_MS
                && nowMs - heldSinceMs >= STORE_HANDOVER_PERIOD_MS;
    }

    private void setRunner(NodeId node, long newTerm) {
        term = newTerm;
        runner = Optional.of(node);
        runnerIncarnation = Optional.empty();
        runnerSuspect = false;
        successor = Optional.empty();
        successorAnnounced = false;
    }

    // A suspicion is no break: in a large cluster, each member is suspect for a moment now and then.
    private void recordSightings(long nowMs, List<Candidate> candidates, Set<NodeId> suspects) {
        Set<NodeId> present = candidates.stream().map(Candidate::node).collect(Collectors.toSet());
        present.addAll(suspects);
        if (nowMs - startedMs < MAX_SETTLE_MS) {
            boolean first = seen.isEmpty();
            if (seen.addAll(present) && !first) {
                grownAtMs = nowMs;
            }
        }
        sightings.keySet().retainAll(present);
        for (Candidate c : candidates) {
            Sighting last = sightings.get(c.node());
            if (last == null) {
                sightings.put(c.node(), Sighting.first(c, nowMs));
            } else if (!last.isOf(c)) {
                sightings.put(c.node(), last.next(c, nowMs));
            }
        }
    }

    private static Optional<Candidate> find(NodeId node, List<Candidate> candidates) {
        return candidates.stream().filter(c -> c.node().equals(node)).findFirst();
    }
}
