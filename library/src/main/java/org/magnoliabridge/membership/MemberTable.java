package org.magnoliabridge.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.membership.MemberState.Liveness;

/** The members as this node knows them, itself included. */
final class MemberTable {
    // Old gossip and the lagging instance list can name a dead member for this long; if it were removed earlier, they
    // would add it again.
    private static final long DEAD_RETENTION_MS = 60_000;

    private final NodeId self;
    private final Map<NodeId, Member> members = new TreeMap<>();
    private final Map<NodeId, Long> stateSinceMs = new HashMap<>();
    private final Map<NodeId, List<Long>> versions = new HashMap<>();
    private Set<NodeId> instances = Set.of();
    // Derived from the members; cached because every ping or tick needs them.
    private List<Member> others = List.of();
    private long digest;
    private boolean anySuspect;
    private boolean stale = true;
    private boolean changed = true;

    MemberTable(Member self) {
        this.self = self.id();
        members.put(self.id(), self);
    }

    private void refresh() {
        if (stale) {
            stale = false;
            others = members.values().stream()
                    .filter(m -> !m.id().equals(self) && m.state().liveness() != Liveness.DEAD)
                    .toList();
            anySuspect = others.stream().anyMatch(m -> !m.isAlive());
            digest = hash(self());
            others.forEach(m -> digest ^= hash(m));
        }
    }

    private static long hash(Member m) {
        MemberState s = m.state();
        return Rendezvous.hash(m.id() + "|" + s.incarnation() + "|" + s.refutation() + s.liveness() + s.leaving());
    }

    Member self() {
        return members.get(self);
    }

    Optional<Member> get(NodeId id) {
        return Optional.ofNullable(members.get(id));
    }

    List<Member> all() {
        return List.copyOf(members.values());
    }

    /** Returns the other members that are not dead. */
    List<Member> others() {
        refresh();
        return others;
    }

    /** Returns the dead members that did not announce that they leave. */
    List<Member> failed() {
        return members.values().stream()
                .filter(m -> m.state().liveness() == Liveness.DEAD && !m.state().leaving())
                .toList();
    }

    /** Returns whether the table changed since the last call. */
    boolean takeChanged() {
        boolean result = changed;
        changed = false;
        return result;
    }

    /**
     * Merges a report; returns the update to gossip, or empty if nothing changed. A false report about this node itself
     * is refuted.
     */
    Optional<MemberUpdate> merge(MemberUpdate update, long nowMs) {
        if (update.id().equals(self)) {
            return mergeSelf(update.state());
        }
        Member known = members.get(update.id());
        if (known == null) {
            boolean left =
                    update.state().liveness() == Liveness.DEAD && update.state().leaving();
            if (update.location().isEmpty() || left) {
                return Optional.empty();
            }
            put(new Member(update.id(), update.state(), update.location().get(), 0), nowMs);
            return Optional.of(update);
        }
        MemberState merged = known.state().merge(update.state());
        if (merged.equals(known.state())) {
            learnCapacity(known, update);
            return Optional.empty();
        }
        boolean restarted = !merged.incarnation().equals(known.state().incarnation());
        if (restarted && update.location().isEmpty()) {
            return Optional.empty();
        }
        if (restarted) {
            versions.remove(known.id());
        }
        Member next = new Member(known.id(), merged, location(known, update, restarted), known.loadPermille());
        if (merged.equals(known.state().withStoreChanges(merged.storeChanges()))) {
            // The time that a suspect has to answer goes on.
            members.put(known.id(), next);
            markChanged();
        } else {
            put(next, nowMs);
        }
        return Optional.of(new MemberUpdate(known.id(), merged, restarted ? update.location() : Optional.empty()));
    }

    private static NodeLocation location(Member known, MemberUpdate update, boolean restarted) {
        NodeLocation reported = update.location().orElse(known.location());
        return restarted || reported.hasCapacity()
                ? reported
                : reported.withCapacity(known.location().capacityMillicores());
    }

    // A report that a node of an earlier release passed on carries no capacity, but the member's own pings do.
    private void learnCapacity(Member known, MemberUpdate update) {
        boolean sameStart = known.state().incarnation().equals(update.state().incarnation());
        boolean learns =
                !known.location().hasCapacity() && update.capacityMillicores() != NodeLocation.UNKNOWN_CAPACITY;
        if (sameStart && learns) {
            NodeLocation location = known.location().withCapacity(update.capacityMillicores());
            members.put(known.id(), new Member(known.id(), known.state(), location, known.loadPermille()));
            markChanged();
        }
    }

    private Optional<MemberUpdate> mergeSelf(MemberState reported) {
        Member me = self();
        MemberState mine = me.state();
        if (mine.merge(reported).equals(mine) || reported.incarnation().isAfter(mine.incarnation())) {
            return Optional.empty();
        }
        return Optional.of(setSelf(new MemberState(
                mine.incarnation(),
                reported.refutation() + 1,
                Liveness.ALIVE,
                mine.leaving(),
                Math.max(mine.storeChanges(), reported.storeChanges()))));
    }

    /** Changes this node's own state and returns the update to gossip. */
    MemberUpdate setSelf(MemberState state) {
        members.put(self, new Member(self, state, self().location(), self().loadPermille()));
        markChanged();
        return new MemberUpdate(self, state, Optional.empty());
    }

    /** Records the load and the item versions that a member reported in a ping or ack, unless its process has ended. */
    void recordReport(MemberUpdate sender, int loadPermille, List<Long> itemVersions) {
        NodeId id = sender.id();
        Member m = members.get(id);
        if (m == null || !m.state().incarnation().equals(sender.state().incarnation())) {
            return;
        }
        versions.put(id, itemVersions);
        if (m.loadPermille() != loadPermille) {
            members.put(id, new Member(id, m.state(), m.location(), loadPermille));
            markChanged();
        }
    }

    /** Returns the other members that have not reported this version of the pinned item. */
    List<Member> membersBehind(String name, long version) {
        int index = Item.PINNED.indexOf(name);
        return others().stream()
                .filter(m ->
                        !versions.containsKey(m.id()) || versions.get(m.id()).get(index) < version)
                .toList();
    }

    /** Returns what is known of the other members. */
    List<MemberStatus> statuses(long nowMs) {
        List<Long> none = Collections.nCopies(Item.PINNED.size(), 0L);
        return members.values().stream()
                .filter(m -> !m.id().equals(self))
                .map(m -> new MemberStatus(
                        m,
                        versions.getOrDefault(m.id(), none),
                        m.isAlive() ? 0 : Math.max(0, nowMs - stateSinceMs.get(m.id()))))
                .toList();
    }

    List<MemberUpdate> expireSuspects(long nowMs, long suspicionMs) {
        List<MemberUpdate> updates = new ArrayList<>();
        refresh();
        if (!anySuspect) {
            return updates;
        }
        for (Member m : others()) {
            if (m.state().liveness() == Liveness.SUSPECT && nowMs - stateSinceMs.get(m.id()) >= suspicionMs) {
                merge(new MemberUpdate(m.id(), m.state().with(Liveness.DEAD), Optional.empty()), nowMs)
                        .ifPresent(updates::add);
            }
        }
        return updates;
    }

    void setInstances(Set<NodeId> ids) {
        instances = Set.copyOf(ids);
    }

    /** Removes members that are dead for more than 60 s and either left or are no longer listed by the platform. */
    void removeDead(long nowMs, boolean instancesRefreshed) {
        for (Member m : all()) {
            boolean old = m.state().liveness() == Liveness.DEAD && nowMs - stateSinceMs.get(m.id()) > DEAD_RETENTION_MS;
            if (old && (m.state().leaving() || (instancesRefreshed && !instances.contains(m.id())))) {
                members.remove(m.id());
                stateSinceMs.remove(m.id());
                versions.remove(m.id());
                markChanged();
            }
        }
    }

    /**
     * Returns whether more than half of the members are alive. Dead members count until the platform no longer lists
     * them: otherwise the smaller side of a partition would soon consider itself the whole cluster.
     */
    boolean majorityAlive() {
        int alive = 0;
        int total = 0;
        for (Member m : members.values()) {
            alive += m.isAlive() ? 1 : 0;
            total += m.state().liveness() == Liveness.DEAD && m.state().leaving() ? 0 : 1;
        }
        for (NodeId id : instances) {
            total += members.containsKey(id) ? 0 : 1;
        }
        return 2 * alive > total;
    }

    /**
     * Returns a hash that is equal for equal tables; it leaves out dead members, because nodes remove them at different
     * times.
     */
    long digest() {
        refresh();
        return digest;
    }

    List<MemberUpdate> allUpdates() {
        return members.values().stream()
                .map(m -> new MemberUpdate(m.id(), m.state(), Optional.of(m.location())))
                .toList();
    }

    private void put(Member member, long nowMs) {
        members.put(member.id(), member);
        stateSinceMs.put(member.id(), nowMs);
        markChanged();
    }

    private void markChanged() {
        changed = true;
        stale = true;
    }
}
