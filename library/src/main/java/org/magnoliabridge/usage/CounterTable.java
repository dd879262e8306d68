package org.magnoliabridge.usage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WindowId;

/** A node's own usage counters, its copies of other nodes' counters, and the states that each peer has confirmed. */
final class CounterTable {
    /** Time without a change after which another node's counter is forwarded to the leader. */
    static final long FORWARD_AFTER_MS = 5_000;

    /** Maximum number of counters in one message; keeps a frame far below its limit of 1 MiB. */
    static final int MAX_COUNTERS = 2_000;

    private final NodeId self;
    private final Incarnation incarnation;
    private final SortedMap<CounterId, Count> counts = new TreeMap<>();
    private final Map<CounterId, Long> lastChangeMs = new HashMap<>();
    private final Map<ProcessName, Map<CounterId, Count>> confirmed = new HashMap<>();

    CounterTable(NodeId self, Incarnation incarnation) {
        this.self = self;
        this.incarnation = incarnation;
    }

    void add(WindowId window, TeamId team, Count count, long nowMs) {
        CounterId id = new CounterId(window, self, incarnation, team);
        counts.merge(id, count, Count::plus);
        lastChangeMs.put(id, nowMs);
    }

    /** Merges copies of counters; they are monotonic, so the maximum is the newer state and repeats have no effect. */
    void merge(Map<CounterId, Count> others, boolean byMax, long nowMs) {
        others.forEach((id, count) -> {
            Count before = counts.getOrDefault(id, Count.ZERO);
            Count after = byMax ? before.max(count) : before.plus(count);
            if (!after.equals(before)) {
                counts.put(id, after);
                lastChangeMs.put(id, nowMs);
            }
        });
    }

    void confirm(ProcessName by, Map<CounterId, Count> acked) {
        Map<CounterId, Count> known = confirmed.computeIfAbsent(by, n -> new HashMap<>());
        acked.forEach((id, count) -> known.merge(id, count, Count::max));
    }

    /**
     * Returns counters whose current state the peer has not confirmed, up to {@link #MAX_COUNTERS}: those of this
     * process and, for the leader, also other processes' that have not changed for {@link #FORWARD_AFTER_MS}.
     */
    SortedMap<CounterId, Count> unconfirmed(ProcessName peer, boolean leader, long nowMs) {
        Map<CounterId, Count> known = confirmed.getOrDefault(peer, Map.of());
        SortedMap<CounterId, Count> result = new TreeMap<>();
        for (Map.Entry<CounterId, Count> entry : counts.entrySet()) {
            CounterId id = entry.getKey();
            boolean wanted = isOwn(id) || (leader && nowMs - lastChangeMs.get(id) >= FORWARD_AFTER_MS);
            if (wanted && !entry.getValue().equals(known.get(id)) && result.size() < MAX_COUNTERS) {
                result.put(id, entry.getValue());
            }
        }
        return result;
    }

    /** Discards the confirmations of all processes but these. */
    void retainConfirmationsOf(Set<ProcessName> peers) {
        confirmed.keySet().retainAll(peers);
    }

    boolean areOwnCountsConfirmedBy(List<ProcessName> nodes) {
        return counts.entrySet().stream()
                .filter(e -> isOwn(e.getKey()))
                .allMatch(e -> nodes.stream()
                        .allMatch(n -> e.getValue()
                                .equals(confirmed.getOrDefault(n, Map.of()).get(e.getKey()))));
    }

    SortedMap<CounterId, Count> counts() {
        return counts;
    }

    SortedMap<CounterId, Count> countsOf(WindowId window) {
        SortedMap<CounterId, Count> result = new TreeMap<>();
        counts.forEach((id, count) -> {
            if (id.window().equals(window)) {
                result.put(id, count);
            }
        });
        return result;
    }

    void dropBefore(long window) {
        counts.keySet().removeIf(id -> id.window().value() < window);
        lastChangeMs.keySet().removeIf(id -> id.window().value() < window);
        confirmed
                .values()
                .forEach(known -> known.keySet().removeIf(id -> id.window().value() < window));
    }

    private boolean isOwn(CounterId id) {
        return id.node().equals(self) && id.incarnation().equals(incarnation);
    }
}
